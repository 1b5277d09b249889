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
 * Asks several racks' owners for the room of one gang. Either all attempts start, or all
 * room is given back at once and the gang tries again later, so that two gangs that each
 * hold a part never wait for each other. Not thread-safe: confined to the control thread.
 */
final class GangReservation {

	private final Placer placer;

	private final Job job;

	private final Map<String, List<AttemptId>> byRack;

	private final Gang gang;

	private final Map<String, List<Reservation>> reserved = new LinkedHashMap<>();

	GangReservation(Placer placer, Job job, Map<String, List<AttemptId>> byRack, Instant startBy) {
		this.placer = placer;
		this.job = job;
		this.byRack = byRack;
		this.gang = new Gang(byRack.values().stream().flatMap(Collection::stream).toList(), startBy);
	}

	void begin() {
		this.byRack.forEach((rack, attempts) -> this.placer.askForGang(this.job, rack, attempts,
				(reservations) -> answered(rack, reservations)));
	}

	private void answered(String rack, List<Reservation> reservations) {
		this.reserved.put(rack, reservations);
		reservations.forEach((reservation) -> this.gang.held(reservation.attempt()));
		if (this.reserved.size() < this.byRack.size()) {
			return;
		}
		if (mayStart()) {
			this.placer.record(this.job, this.reserved, this::mayStart);
		}
	}

	private boolean mayStart() {
		if (this.gang.isGivenUp() || this.gang.startOrGiveUp(this.placer.now())) {
			return !this.gang.isGivenUp();
		}
		this.placer.giveUp(this.job, this.byRack);
		return false;
	}

}
