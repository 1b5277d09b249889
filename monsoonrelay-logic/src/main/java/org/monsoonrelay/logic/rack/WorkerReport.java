package org.monsoonrelay.logic.rack;

import java.util.List;

/**
 * A worker's own word, given in answer to each heartbeat and command. Immutable.
 *
 * @param incarnation identity of this start of the worker
 * @param highestEpoch the highest epoch it has seen
 * @param accepted whether the epoch of the call was high enough
 * @param attempts all attempts it knows
 */
public record WorkerReport(String incarnation, long highestEpoch, boolean accepted, List<ReportedAttempt> attempts) {

	public WorkerReport {
		attempts = List.copyOf(attempts);
	}

}
