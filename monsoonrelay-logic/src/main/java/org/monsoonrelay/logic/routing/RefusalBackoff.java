package org.monsoonrelay.logic.routing;

import java.time.Duration;

/**
 * Backoff after a server has refused a request because it is full. During the delay, the
 * server is given no more requests than it had in flight when it refused. The normal
 * delay applies while the cell is busy for short periods. The longer overload delay
 * applies once refusals have used up the budget, which responses replenish, so that an
 * overload does not make the servers spend their capacity on refusals. Immutable.
 *
 * @param normalDelay the delay while the budget is not used up
 * @param overloadDelay the delay once the budget is used up
 * @param refusalsPerAnswer number of refusals that each response adds to the budget
 * @param maximumBudget maximum number of refusals in the budget
 */
public record RefusalBackoff(Duration normalDelay, Duration overloadDelay, double refusalsPerAnswer,
		double maximumBudget) {

	/** Backoff that gateways use. */
	public static final RefusalBackoff DEFAULT = new RefusalBackoff(Duration.ofMillis(2), Duration.ofMillis(150), 0.6,
			1000);

	RetryBudget createBudget() {
		return new RetryBudget(this.refusalsPerAnswer, this.maximumBudget);
	}

}
