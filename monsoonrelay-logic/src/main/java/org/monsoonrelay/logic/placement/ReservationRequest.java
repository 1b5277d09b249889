package org.monsoonrelay.logic.placement;

import java.time.Instant;
import java.util.List;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * A queue owner asks a rack's owner for room. Immutable.
 *
 * @param rack the rack
 * @param team the team whose queue asks
 * @param kind how the tasks belong together
 * @param size what each task asks for
 * @param runMillis declared run time of a task in milliseconds, 0 for services
 * @param attempts the attempts to place
 * @param startAtOnce whether placed attempts are started without a further word
 * @param deadline when a reservation lapses unless it is started
 */
public record ReservationRequest(String rack, String team, WorkloadKind kind, Resources size, long runMillis,
		List<AttemptId> attempts, boolean startAtOnce, Instant deadline) {

	public ReservationRequest {
		attempts = List.copyOf(attempts);
	}

}
