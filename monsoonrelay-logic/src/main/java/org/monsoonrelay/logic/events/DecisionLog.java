package org.monsoonrelay.logic.events;

/**
 * Log of decisions, which also records metric values that have no log line.
 * Implementations are thread-safe, never block, and may omit lines under load; omitted
 * lines are counted.
 */
public interface DecisionLog {

	/** Discards everything. */
	DecisionLog NONE = (decision) -> {
	};

	/**
	 * Write a decision.
	 * @param decision the decision with its inputs
	 */
	void write(Decision decision);

	/**
	 * Record a metric value without writing a line.
	 * @param metric the metric
	 * @param value the value, in the metric's unit
	 */
	default void recordMetric(Metric metric, long value) {
	}

}
