package org.monsoonrelay.logic.rack;

import java.util.List;

import org.monsoonrelay.model.job.AttemptId;

/**
 * Command from a rack owner to a worker. It serves as the heartbeat that renews the
 * worker's lease. Every part is idempotent, so a command whose response was lost can be
 * sent again. Immutable.
 *
 * @param epoch ownership epoch of the rack; a worker rejects an epoch below the highest
 * one it has received
 * @param leaseMillis lease duration in milliseconds
 * @param incarnation the worker incarnation that the starts are intended for, empty
 * before the first report; a worker of another incarnation ignores the starts, because a
 * delayed command may name attempts that have since been placed on other workers
 * @param starts attempts to start
 * @param stops attempts to stop, or to prevent from starting
 * @param forget completed attempts that the worker no longer has to report
 */
public record WorkerCommand(long epoch, long leaseMillis, String incarnation, List<StartTask> starts,
		List<AttemptId> stops, List<AttemptId> forget) {

	public WorkerCommand {
		starts = List.copyOf(starts);
		stops = List.copyOf(stops);
		forget = List.copyOf(forget);
	}

}
