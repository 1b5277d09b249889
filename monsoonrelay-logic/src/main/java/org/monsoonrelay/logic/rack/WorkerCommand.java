package org.monsoonrelay.logic.rack;

import java.util.List;

import org.monsoonrelay.model.job.AttemptId;

/**
 * What a rack's owner sends to a worker: renews the lease and carries orders. Every part
 * is idempotent, so that a command whose answer was lost is sent again. Immutable.
 *
 * @param epoch epoch of the rack's ownership; a worker refuses one below the highest it
 * has seen
 * @param leaseMillis how long the lease lasts, in milliseconds
 * @param incarnation the worker's incarnation that the starts are for, empty before its
 * first report; a worker of another incarnation starts nothing, because a command that
 * arrives late may name attempts that have been placed elsewhere since
 * @param starts attempts to start
 * @param stops attempts to stop, or never to start
 * @param forget ended attempts that need not be reported any more
 */
public record WorkerCommand(long epoch, long leaseMillis, String incarnation, List<StartTask> starts,
		List<AttemptId> stops, List<AttemptId> forget) {

	public WorkerCommand {
		starts = List.copyOf(starts);
		stops = List.copyOf(stops);
		forget = List.copyOf(forget);
	}

}
