package org.monsoonrelay.logic.queue;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * Port to the owners of racks, in this process or in a peer. Futures fail if no answer
 * came, in which case the call may have taken effect; all calls are idempotent.
 */
public interface RackOwners {

	/**
	 * Ask for room.
	 * @param request the request
	 * @return the reservations made
	 */
	CompletableFuture<List<Reservation>> reserve(ReservationRequest request);

	/**
	 * Start reserved attempts.
	 * @param rack the rack
	 * @param starts the orders
	 * @return the attempts whose reservation was no longer held, and which were not
	 * started
	 */
	CompletableFuture<List<AttemptId>> start(String rack, List<StartTask> starts);

	/**
	 * Give back reservations that were never started.
	 * @param rack the rack
	 * @param attempts the attempts
	 */
	void release(String rack, Collection<AttemptId> attempts);

	/**
	 * Stop an attempt, or make sure that it never starts.
	 * @param rack the rack, empty if not known
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param team the team it counts against
	 */
	void stop(String rack, AttemptId attempt, WorkerId worker, String team);

	/**
	 * Ask what became of an attempt in doubt.
	 * @param rack the rack
	 * @param attempt the attempt
	 * @param worker the worker
	 * @param incarnation the worker's incarnation when it was placed
	 * @param team the team it counts against
	 */
	void resolve(String rack, AttemptId attempt, WorkerId worker, String incarnation, String team);

}
