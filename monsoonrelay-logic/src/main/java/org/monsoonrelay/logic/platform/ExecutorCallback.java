package org.monsoonrelay.logic.platform;

import java.util.concurrent.Executor;
import java.util.function.BiConsumer;

/**
 * Carries what becomes of a future over to an executor as a task of its own, so that a
 * failure of the callback is the executor's to handle and is not lost in a future that
 * nobody reads. Stateless and thread-safe.
 */
public final class ExecutorCallback {

	private ExecutorCallback() {
	}

	/**
	 * Make a callback for {@code CompletableFuture.whenComplete}.
	 * @param <T> type of the value
	 * @param executor where to run the callback
	 * @param callback takes the value or the failure
	 * @return the callback to register
	 */
	public static <T> BiConsumer<T, Throwable> on(Executor executor, BiConsumer<? super T, Throwable> callback) {
		return (value, failure) -> executor.execute(() -> callback.accept(value, failure));
	}

}
