package org.monsoonrelay.logic.routing;

import java.time.Duration;

/**
 * How long a server that refused as full gets no more requests than it has in flight. The
 * short pause is for moments in which the cell is busy; the long one holds once refusals
 * outrun answers, so that an overload does not drown the servers in refusals. Immutable.
 *
 * @param brief the pause while the budget lasts
 * @param overloaded the pause once the budget is used up
 * @param refusalsPerAnswer refusals that each answer adds to the budget
 * @param reserve refusals that the budget holds at most
 */
public record RefusalBackoff(Duration normalDelay, Duration overloadDelay, double refusalsPerAnswer,
		double maximumBudget) {

	/** What the gateways use. */
	public static final RefusalBackoff DEFAULT = new RefusalBackoff(Duration.ofMillis(2), Duration.ofMillis(150), 0.6,
			1000);

	RetryBudget createBudget() {
		return new RetryBudget(this.refusalsPerAnswer, this.maximumBudget);
	}

}
