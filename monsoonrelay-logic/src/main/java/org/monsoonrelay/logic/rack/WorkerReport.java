package org.monsoonrelay.logic.rack;

import java.util.List;

/**
 * State of a worker, returned in response to each command. Immutable.
 *
 * @param incarnation identifier of the worker's current incarnation, which changes with
 * each restart
 * @param highestEpoch the highest ownership epoch that the worker has received
 * @param accepted whether the command was accepted; {@code false} if its epoch was below
 * the highest one received
 * @param attempts all attempts known to the worker
 */
public record WorkerReport(String incarnation, long highestEpoch, boolean accepted, List<ReportedAttempt> attempts) {

	public WorkerReport {
		attempts = List.copyOf(attempts);
	}

}
