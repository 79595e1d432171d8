package io.fireflywalk.services.object;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/** The platform's object store. A put replaces an existing object of the same name, so it is idempotent. Thread-safe. */
public interface ObjectStore {

    Completable put(String name, Buffer content);

    /** Reads an object; empty if it does not exist. */
    Single<Optional<Buffer>> get(String name);

    /** Removes an object, if it exists. */
    Completable remove(String name);
}
