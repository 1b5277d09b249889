package org.monsoonrelay.logic.placement;

import java.time.Instant;
import java.util.List;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Request of a queue owner to a rack owner to reserve capacity for attempts. Immutable.
 *
 * @param rack the rack
 * @param team the team the job belongs to
 * @param kind the kind of the job
 * @param size the size of each task
 * @param runMillis declared run time of a task in milliseconds, 0 for services
 * @param attempts the attempts to place
 * @param startAtOnce whether placed attempts are started without a further request
 * @param deadline when a reservation expires unless its attempt has been started
 */
public record ReservationRequest(String rack, String team, WorkloadKind kind, Resources size, long runMillis,
		List<AttemptId> attempts, boolean startAtOnce, Instant deadline) {

	public ReservationRequest {
		attempts = List.copyOf(attempts);
	}

}
