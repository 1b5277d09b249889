package org.monsoonrelay.logic.submission;

import java.util.Map;

/**
 * Number of waiting jobs by queue. Immutable.
 *
 * @param pending number of accepted jobs without any started task, by queue
 */
public record QueueSummary(Map<String, Integer> pending) {

	/** No job is waiting. */
	public static final QueueSummary NONE = new QueueSummary(Map.of());

	public QueueSummary {
		pending = Map.copyOf(pending);
	}

}
