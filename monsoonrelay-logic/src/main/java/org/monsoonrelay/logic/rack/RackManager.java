package org.monsoonrelay.logic.rack;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.placement.AttemptEventKind;
import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.Worker;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * Owner of racks: reserves room, starts and stops attempts on workers, renews leases and
 * keeps events for the queue owners until they are acknowledged. Invariants: no worker's
 * commitments exceed its capacity; a worker takes no new work before it has reported
 * under the present ownership; an ended attempt is forgotten at the worker only after its
 * queue owner has acknowledged the end. Not thread-safe: confined to the control thread,
 * which is also the executor for the workers' answers.
 */
public final class RackManager {

	private final WorkerAgents agents;

	private final Executor controlExecutor;

	private final InstantSource clock;

	private final LongSupplier monotonicNanos;

	private final Duration leaseDuration;

	private final Map<String, Rack> racks = new TreeMap<>();

	private final WorkerHealth health;

	private final AttemptEvents attemptEvents;

	private HostList hosts = new HostList(0, List.of());

	public RackManager(WorkerAgents agents, Executor control, InstantSource clock, LongSupplier monotonicNanos,
			Duration lease) {
		this.agents = agents;
		this.controlExecutor = control;
		this.clock = clock;
		this.monotonicNanos = monotonicNanos;
		this.leaseDuration = lease;
		this.health = new WorkerHealth(monotonicNanos);
		this.attemptEvents = new AttemptEvents(this.health::recordOutcome);
	}

	/**
	 * Begin to own a rack. Its workers take no new work until they have reported.
	 * @param rack the rack
	 * @param epoch epoch of the ownership
	 */
	public void acquireOwnership(String rack, long epoch) {
		Rack present = this.racks.get(rack);
		if (present == null || present.epoch() < epoch) {
			releaseOwnership(rack);
			this.racks.put(rack, new Rack(rack, epoch));
			addListedWorkers();
		}
	}

	/**
	 * Cease to own a rack. What runs there goes on under its next owner.
	 * @param rack the rack
	 */
	public void releaseOwnership(String rack) {
		Rack removed = this.racks.remove(rack);
		if (removed != null) {
			this.attemptEvents.removeAllOn(removed.workers());
		}
	}

	/**
	 * Take in a reading of the host list. A reading older than one seen before is left
	 * out.
	 * @param list the reading
	 */
	public void update(HostList list) {
		if (list.version() < this.hosts.version()) {
			return;
		}
		this.hosts = list;
		addListedWorkers();
		Set<String> listed = list.hosts().stream().map(Host::name).collect(Collectors.toSet());
		for (Rack rack : this.racks.values()) {
			rack.workers()
				.stream()
				.filter((slot) -> !listed.contains(slot.host().name()))
				.toList()
				.forEach((slot) -> removeWorker(rack, slot));
		}
	}

	private void addListedWorkers() {
		for (Host host : this.hosts.hosts()) {
			Rack rack = this.racks.get(host.rack());
			if (host.kind() == HostKind.WORKER && rack != null) {
				rack.addOrUpdateWorker(host, this.monotonicNanos.getAsLong());
			}
		}
	}

	private void removeWorker(Rack rack, TrackedWorker slot) {
		rack.removeWorker(slot.worker().id());
		slot.createHostRemovedEvents().forEach((event) -> this.attemptEvents.publish(event, slot));
	}

	/**
	 * Reserve room for as many of the attempts as fit.
	 * @param request the request
	 * @return the reservations; attempts without one hold nothing
	 */
	public List<Reservation> reserve(ReservationRequest request) {
		Rack rack = this.racks.get(request.rack());
		if (rack == null) {
			return List.of();
		}
		List<Reservation> reserved = new ArrayList<>();
		for (AttemptId attempt : request.attempts()) {
			reserveOne(rack, request, attempt).ifPresent(reserved::add);
		}
		return reserved;
	}

	private Optional<Reservation> reserveOne(Rack rack, ReservationRequest request, AttemptId attempt) {
		Optional<TrackedWorker> held = this.attemptEvents.worker(attempt);
		if (held.isPresent()) {
			Worker worker = held.get().worker();
			return Optional.of(new Reservation(attempt, worker.id(), worker.incarnation()));
		}
		Optional<Worker> chosen = this.health.chooseWorker(rack.usableWorkers(this.health), request, attempt.job());
		if (chosen.isEmpty() || !chosen.get().reserve(attempt, request.size(), request.deadline())) {
			return Optional.empty();
		}
		TrackedWorker slot = rack.worker(chosen.get().id());
		slot.setTeam(attempt, request.team());
		this.attemptEvents.assign(attempt, slot);
		if (request.startAtOnce()) {
			start(new StartTask(attempt, request.team(), request.size(), request.runMillis()));
		}
		return Optional.of(new Reservation(attempt, chosen.get().id(), chosen.get().incarnation()));
	}

	/**
	 * Start a reserved attempt. Idempotent.
	 * @param start the order
	 * @return {@code true} if the reservation was still held
	 */
	public boolean start(StartTask start) {
		Optional<TrackedWorker> granted = this.attemptEvents.worker(start.attempt())
			.filter((slot) -> slot.worker().grant(start.attempt()));
		granted.ifPresent((slot) -> slot.addStart(start));
		return granted.isPresent();
	}

	/**
	 * Stop an attempt, or make sure that it never starts. The outcome follows as an
	 * event.
	 * @param attempt the attempt
	 * @param worker the worker it was placed on
	 * @param team the team it counts against
	 */
	public void stop(AttemptId attempt, WorkerId worker, String team) {
		this.attemptEvents.worker(attempt).or(() -> findWorker(worker)).ifPresent((slot) -> {
			slot.setTeam(attempt, team);
			this.attemptEvents.assign(attempt, slot);
			slot.addStop(attempt);
		});
	}

	private Optional<TrackedWorker> findWorker(WorkerId worker) {
		return this.racks.values().stream().map((rack) -> rack.worker(worker)).filter(Objects::nonNull).findFirst();
	}

	/**
	 * Give back reservations that were never started. Idempotent.
	 * @param attempts the attempts
	 */
	public void release(Collection<AttemptId> attempts) {
		for (AttemptId attempt : attempts) {
			this.attemptEvents.worker(attempt).ifPresent((slot) -> {
				slot.worker().release(attempt);
				this.attemptEvents.remove(attempt);
			});
		}
	}

	/**
	 * Find out what became of an attempt that is in doubt. The outcome follows as an
	 * event.
	 * @param attempt the attempt
	 * @param worker the worker it was placed on
	 * @param incarnation the worker's incarnation then
	 * @param team the team it counts against
	 */
	public void resolve(AttemptId attempt, WorkerId worker, String incarnation, String team) {
		findWorker(worker).ifPresent((slot) -> resolve(attempt, slot, incarnation, team));
	}

	private void resolve(AttemptId attempt, TrackedWorker slot, String incarnation, String team) {
		slot.setTeam(attempt, team);
		if (slot.isUnresponsive()) {
			this.attemptEvents.publish(slot.createEvent(attempt, AttemptEventKind.LAPSED), slot);
			return;
		}
		if (!slot.worker().isReported()) {
			return;
		}
		if (slot.worker().attempts().contains(attempt)) {
			if (slot.isRunningAcknowledged(attempt)) {
				this.attemptEvents.republishRunning(attempt, slot);
			}
		}
		else if (!slot.worker().incarnation().equals(incarnation)) {
			this.attemptEvents.publish(slot.createEvent(attempt, AttemptEventKind.GONE), slot);
		}
		else {
			this.attemptEvents.assign(attempt, slot);
			slot.addStop(attempt);
		}
	}

	/**
	 * Post again all that is known of a team's attempts, for a new queue owner.
	 * @param team the team
	 */
	public void republishRunning(String team) {
		this.attemptEvents.republishRunning(team);
	}

	/**
	 * Send a heartbeat to every worker, and release reservations that have lapsed.
	 */
	public void sendHeartbeats() {
		for (Rack rack : this.racks.values()) {
			for (TrackedWorker slot : rack.workers()) {
				slot.worker().lapse(this.clock.instant()).forEach(this.attemptEvents::remove);
				slot.checkLease(this.monotonicNanos.getAsLong(), this.leaseDuration.toNanos())
					.forEach((event) -> this.attemptEvents.publish(event, slot));
				sendCommand(rack, slot);
			}
		}
	}

	/**
	 * Send the orders that cannot wait for the next heartbeat.
	 */
	public void sendUrgentCommands() {
		for (Rack rack : this.racks.values()) {
			rack.workers().stream().filter(TrackedWorker::isCommandUrgent).forEach((slot) -> sendCommand(rack, slot));
		}
	}

	private void sendCommand(Rack rack, TrackedWorker slot) {
		if (slot.isCommandInFlight()) {
			return;
		}
		slot.setCommandInFlight(true);
		WorkerCommand command = slot.createCommand(rack.epoch(), this.leaseDuration.toMillis());
		this.agents.send(slot.host(), command).whenCompleteAsync((report, failure) -> {
			slot.setCommandInFlight(false);
			if (report != null && this.racks.get(rack.name()) == rack) {
				handleReport(rack, slot, command, report);
			}
		}, this.controlExecutor);
	}

	private void handleReport(Rack rack, TrackedWorker slot, WorkerCommand command, WorkerReport report) {
		if (!report.accepted()) {
			releaseOwnership(rack.name());
			return;
		}
		for (AttemptEvent event : slot.applyReport(report, command, this.monotonicNanos.getAsLong())) {
			this.attemptEvents.publish(event, slot);
		}
	}

	/**
	 * Events not yet acknowledged, by team.
	 * @return the events
	 */
	public Map<String, List<AttemptEvent>> unacknowledgedEvents() {
		return this.attemptEvents.unacknowledgedByTeam();
	}

	/**
	 * A queue owner has taken in an event and, where it has to last, made it durable.
	 * @param event the event
	 */
	public void acknowledge(AttemptEvent event) {
		this.attemptEvents.acknowledge(event);
	}

	/**
	 * What queue owners sample.
	 * @return a summary of each owned rack
	 */
	public List<RackSummary> summaries() {
		return this.racks.values().stream().map((rack) -> rack.summary(this.health)).toList();
	}

	/**
	 * The workers of the owned racks.
	 * @return the workers; they belong to the control thread
	 */
	public List<Worker> workers() {
		return this.racks.values()
			.stream()
			.flatMap((rack) -> rack.workers().stream())
			.map(TrackedWorker::worker)
			.toList();
	}

}
