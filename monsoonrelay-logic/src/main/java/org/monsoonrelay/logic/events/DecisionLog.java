package org.monsoonrelay.logic.events;

/**
 * Takes a line for each decision, and figures that have none. Implementations are
 * thread-safe, never block and may leave lines out under load, counting them.
 */
public interface DecisionLog {

	/** Keeps nothing. */
	DecisionLog NONE = (decision) -> {
	};

	/**
	 * Write a decision.
	 * @param decision the decision with its inputs
	 */
	void write(Decision decision);

	/**
	 * Take a figure that no line is written for.
	 * @param measure what was measured
	 * @param value the figure in its unit
	 */
	default void recordMetric(Metric measure, long value) {
	}

}
