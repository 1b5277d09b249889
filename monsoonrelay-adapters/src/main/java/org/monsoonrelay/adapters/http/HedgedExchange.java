package org.monsoonrelay.adapters.http;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.monsoonrelay.adapters.http.JsonHttpClient.Response;

/**
 * An exchange that may be backed up by others, the hedges. Invariants: the first response
 * counts, and the other exchanges are cancelled; the exchange fails only when each one
 * that was started has failed, with the failure of the first. Thread-safe.
 */
final class HedgedExchange {

	private final CompletableFuture<Response> result = new CompletableFuture<>();

	private final CompletableFuture<Response> first;

	private int pendingCount = 1;

	private Throwable firstFailure;

	/**
	 * Creates an exchange without a hedge.
	 * @param first the response of the first exchange
	 */
	HedgedExchange(CompletableFuture<Response> first) {
		this.first = first;
		add(first);
	}

	CompletableFuture<Response> result() {
		return this.result;
	}

	/**
	 * Starts a hedge, unless the exchange is over.
	 * @param hedge starts another exchange
	 * @return whether it was started
	 */
	boolean hedge(Supplier<CompletableFuture<Response>> hedge) {
		if (!tryAddPending()) {
			return false;
		}
		add(hedge.get());
		return true;
	}

	private void add(CompletableFuture<Response> exchange) {
		this.result.whenComplete((response, failure) -> exchange.cancel(false));
		exchange.whenComplete((response, failure) -> {
			if (failure != null) {
				failed(exchange, failure);
			}
			else {
				this.result.complete(response);
			}
		});
	}

	private synchronized boolean tryAddPending() {
		if (this.pendingCount == 0 || this.result.isDone()) {
			return false;
		}
		this.pendingCount++;
		return true;
	}

	private void failed(CompletableFuture<Response> exchange, Throwable failure) {
		if (isLastFailure(exchange, failure)) {
			this.result.completeExceptionally(this.firstFailure);
		}
	}

	private synchronized boolean isLastFailure(CompletableFuture<Response> exchange, Throwable failure) {
		this.firstFailure = (exchange == this.first) ? failure : this.firstFailure;
		this.pendingCount--;
		return this.pendingCount == 0;
	}

}
