package org.monsoonrelay.logic.queue;

import java.time.Instant;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.Gang;
import org.monsoonrelay.model.job.Job;

/**
 * Reserves the capacity for one gang with the owners of several racks. Either all
 * attempts start, or all reservations are released at once and the gang is retried later.
 * So two gangs that each hold a part of the capacity never deadlock. Not thread-safe:
 * confined to the control thread.
 */
final class GangReservation {

	private final Placer placer;

	private final Job job;

	private final Map<String, List<AttemptId>> attemptsByRack;

	private final Gang gang;

	private final Map<String, List<Reservation>> reservationsByRack = new LinkedHashMap<>();

	GangReservation(Placer placer, Job job, Map<String, List<AttemptId>> attemptsByRack, Instant startDeadline) {
		this.placer = placer;
		this.job = job;
		this.attemptsByRack = attemptsByRack;
		this.gang = new Gang(attemptsByRack.values().stream().flatMap(Collection::stream).toList(), startDeadline);
	}

	void sendRequests() {
		this.attemptsByRack.forEach((rack, attempts) -> this.placer.reserveForGang(this.job, rack, attempts,
				(reservations) -> handleReply(rack, reservations)));
	}

	private void handleReply(String rack, List<Reservation> reservations) {
		this.reservationsByRack.put(rack, reservations);
		reservations.forEach((reservation) -> this.gang.markHeld(reservation.attempt()));
		if (this.reservationsByRack.size() < this.attemptsByRack.size()) {
			return;
		}
		if (tryStart()) {
			this.placer.startReserved(this.job, this.reservationsByRack, this::tryStart);
		}
	}

	/**
	 * Decide whether the gang starts now. Without all reservations in time, backs off.
	 * @return {@code true} if all attempts may start
	 */
	private boolean tryStart() {
		if (this.gang.isAbandoned() || this.gang.startOrAbandon(this.placer.now())) {
			return !this.gang.isAbandoned();
		}
		this.placer.backOffGang(this.job, this.attemptsByRack);
		return false;
	}

}
