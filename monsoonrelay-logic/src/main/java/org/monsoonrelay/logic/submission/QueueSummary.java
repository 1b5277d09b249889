package org.monsoonrelay.logic.submission;

import java.util.Map;

/**
 * Jobs that wait, by queue. Immutable.
 *
 * @param pending accepted jobs of which no task has started, by queue
 */
public record QueueSummary(Map<String, Integer> pending) {

	/** Nothing waits. */
	public static final QueueSummary NONE = new QueueSummary(Map.of());

	public QueueSummary {
		pending = Map.copyOf(pending);
	}

}
