package org.monsoonrelay.logic.platform;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object store. Objects are immutable and named by a digest of their
 * content. Implementations are thread-safe; futures fail with {@link PlatformException}
 * if no answer arrives.
 */
public interface ObjectStore {

	/**
	 * Store an object. Idempotent.
	 * @param name the object's name
	 * @param content the content
	 * @return completes when the object is stored
	 */
	CompletableFuture<Void> put(String name, String content);

	/**
	 * Fetch an object.
	 * @param name the object's name
	 * @return the content, empty if the object does not exist
	 */
	CompletableFuture<Optional<String>> get(String name);

}
