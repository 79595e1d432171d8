package io.fireflywalk.services.object;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/** The platform's object store. A put of the same name replaces the object, so it may be repeated. Thread-safe. */
public interface ObjectStore {

    /** Stores an object. */
    Completable put(String name, Buffer content);

    /** Reads an object. */
    Single<Optional<Buffer>> get(String name);

    /** Removes an object, if it exists. */
    Completable remove(String name);
}
