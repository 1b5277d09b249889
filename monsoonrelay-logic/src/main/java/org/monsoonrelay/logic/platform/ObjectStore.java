package org.monsoonrelay.logic.platform;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's object store. Objects are written once under a name that follows from
 * their content. Implementations are safe for use by several threads; futures fail with
 * {@link PlatformException} when no answer came.
 */
public interface ObjectStore {

	/**
	 * Store an object. Idempotent.
	 * @param name the object's name
	 * @param content the content
	 * @return completes when the store has it
	 */
	CompletableFuture<Void> put(String name, String content);

	/**
	 * Fetch an object.
	 * @param name the object's name
	 * @return the content, if the object exists
	 */
	CompletableFuture<Optional<String>> get(String name);

}
