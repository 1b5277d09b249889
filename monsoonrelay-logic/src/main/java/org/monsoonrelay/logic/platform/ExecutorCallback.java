package org.monsoonrelay.logic.platform;

import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/**
 * Runs callbacks of futures on an executor, each as a task of its own, so that an
 * exception thrown by a callback is handled by the executor instead of being lost in a
 * future whose result nobody reads. Stateless and thread-safe.
 */
public final class ExecutorCallback {

	private ExecutorCallback() {
	}

	/**
	 * Create a callback for {@code CompletableFuture.whenComplete}.
	 * @param <T> type of the value
	 * @param executor runs the callback
	 * @param callback receives the value or the failure
	 * @return the callback to register
	 */
	public static <T> BiConsumer<T, Throwable> on(Executor executor, BiConsumer<? super T, Throwable> callback) {
		return (value, failure) -> executor.execute(() -> callback.accept(value, failure));
	}

}
