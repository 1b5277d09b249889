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
 * Port to the owners of racks, in this process or in a peer. A future fails if no reply
 * arrives, in which case the request may have taken effect. All requests are idempotent.
 */
public interface RackOwners {

	/**
	 * Reserve capacity for attempts.
	 * @param request the request
	 * @return the reservations made; attempts without one were refused
	 */
	CompletableFuture<List<Reservation>> reserve(ReservationRequest request);

	/**
	 * Start reserved attempts.
	 * @param rack the rack
	 * @param starts the attempts to start
	 * @return the attempts that were not started because their reservation had expired or
	 * been released
	 */
	CompletableFuture<List<AttemptId>> start(String rack, List<StartTask> starts);

	/**
	 * Release the reservations of attempts that have not been started.
	 * @param rack the rack
	 * @param attempts the attempts
	 */
	void release(String rack, Collection<AttemptId> attempts);

	/**
	 * Stop an attempt, or prevent its start.
	 * @param rack the rack, empty if unknown
	 * @param attempt the attempt
	 * @param worker the worker it was placed on, empty if unknown
	 * @param team the team whose quota it uses
	 */
	void stop(String rack, AttemptId attempt, WorkerId worker, String team);

	/**
	 * Request an event with the present state of an attempt whose state is unknown.
	 * @param rack the rack, empty if unknown
	 * @param attempt the attempt
	 * @param worker the worker it was placed on
	 * @param incarnation the incarnation of the worker when the attempt was placed
	 * @param team the team whose quota it uses
	 */
	void resolve(String rack, AttemptId attempt, WorkerId worker, String incarnation, String team);

}
