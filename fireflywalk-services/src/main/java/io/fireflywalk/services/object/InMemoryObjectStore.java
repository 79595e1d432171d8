package io.fireflywalk.services.object;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

/** In-memory object store for tests, the demo command and the stand-in process. Thread-safe. */
public final class InMemoryObjectStore implements ObjectStore {
    private final Map<String, Buffer> objects = new ConcurrentHashMap<>();

    @Override
    public Completable put(String name, Buffer content) {
        return Completable.fromAction(() -> objects.put(name, content.copy()));
    }

    @Override
    public Single<Optional<Buffer>> get(String name) {
        return Single.fromCallable(() -> Optional.ofNullable(objects.get(name)));
    }

    @Override
    public Completable remove(String name) {
        return Completable.fromAction(() -> objects.remove(name));
    }
}
