package org.monsoonrelay.model.submission;

import java.util.Map;

/**
 * Durable progress of a submitted job. Immutable.
 *
 * @param state the state that callers may be told
 * @param steps records of steps, by occurrence and step
 */
public record JobProgress(SubmissionState state, Map<String, StepRecord> steps) {

	public JobProgress {
		steps = Map.copyOf(steps);
	}

}
