package org.monsoonrelay.logic.routing;

/**
 * Token bucket that limits retries to a fraction of the requests, so that an outage does
 * not multiply the load. Invariant: in any period, the number of retries is at most the
 * capacity plus the fraction of the requests in that period. Requests sent over stale
 * connections are retried outside of the budget: they did not reach a server, and their
 * number is limited by the number of connections. Thread-safe.
 */
public final class RetryBudget {

	private final double retriesPerRequest;

	private final double capacity;

	private double tokens;

	/**
	 * Create a budget.
	 * @param retriesPerRequest number of retries that each request adds to the budget,
	 * between 0 and 1
	 * @param capacity maximum number of unused retries, which is also the initial number
	 */
	public RetryBudget(double retriesPerRequest, double capacity) {
		this.retriesPerRequest = retriesPerRequest;
		this.capacity = capacity;
		this.tokens = capacity;
	}

	/**
	 * Record a request, which adds to the budget.
	 */
	public synchronized void recordRequest() {
		this.tokens = Math.min(this.capacity, this.tokens + this.retriesPerRequest);
	}

	/**
	 * Take one retry from the budget.
	 * @return {@code true} if a retry is allowed
	 */
	public synchronized boolean tryAcquire() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
