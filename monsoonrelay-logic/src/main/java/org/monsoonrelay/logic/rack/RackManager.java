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
 * Manages the racks that this process owns: reserves capacity, starts and stops attempts
 * on workers, renews worker leases and keeps attempt events until the queue owners have
 * acknowledged them. Invariants: the commitments of a worker do not exceed its capacity;
 * a worker is given no new attempts before it has reported under the current ownership; a
 * worker is told to forget a completed attempt only after the queue owner has
 * acknowledged its end. Not thread-safe: confined to the control thread, on which the
 * responses of workers are processed as well.
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

	public RackManager(WorkerAgents agents, Executor controlExecutor, InstantSource clock, LongSupplier monotonicNanos,
			Duration leaseDuration) {
		this.agents = agents;
		this.controlExecutor = controlExecutor;
		this.clock = clock;
		this.monotonicNanos = monotonicNanos;
		this.leaseDuration = leaseDuration;
		this.health = new WorkerHealth(monotonicNanos);
		this.attemptEvents = new AttemptEvents(this.health::recordOutcome);
	}

	/**
	 * Acquire the ownership of a rack. Its workers are given no new attempts until they
	 * have reported. Ignored if the rack is already owned under this or a higher epoch.
	 * @param rack the rack
	 * @param epoch the ownership epoch
	 */
	public void acquireOwnership(String rack, long epoch) {
		Rack current = this.racks.get(rack);
		if (current == null || current.epoch() < epoch) {
			releaseOwnership(rack);
			this.racks.put(rack, new Rack(rack, epoch));
			addListedWorkers();
		}
	}

	/**
	 * Release the ownership of a rack. Running attempts continue under the next owner.
	 * @param rack the rack
	 */
	public void releaseOwnership(String rack) {
		Rack removed = this.racks.remove(rack);
		if (removed != null) {
			this.attemptEvents.removeAllOn(removed.workers());
		}
	}

	/**
	 * Apply a snapshot of the host list. A snapshot older than the latest one is ignored.
	 * @param list the snapshot
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
				.filter((tracked) -> !listed.contains(tracked.host().name()))
				.toList()
				.forEach((tracked) -> removeWorker(rack, tracked));
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

	private void removeWorker(Rack rack, TrackedWorker tracked) {
		rack.removeWorker(tracked.worker().id());
		tracked.createHostRemovedEvents().forEach((event) -> this.attemptEvents.publish(event, tracked));
	}

	/**
	 * Reserve capacity for as many of the requested attempts as fit.
	 * @param request the request
	 * @return the reservations that were made; no capacity is reserved for the other
	 * attempts
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
		Optional<TrackedWorker> assigned = this.attemptEvents.worker(attempt);
		if (assigned.isPresent()) {
			Worker worker = assigned.get().worker();
			return Optional.of(new Reservation(attempt, worker.id(), worker.incarnation()));
		}
		Optional<Worker> chosen = this.health.chooseWorker(rack.usableWorkers(this.health), request, attempt.job());
		if (chosen.isEmpty() || !chosen.get().reserve(attempt, request.size(), request.deadline())) {
			return Optional.empty();
		}
		TrackedWorker tracked = rack.worker(chosen.get().id());
		tracked.setTeam(attempt, request.team());
		this.attemptEvents.assign(attempt, tracked);
		if (request.startAtOnce()) {
			start(new StartTask(attempt, request.team(), request.size(), request.runMillis()));
		}
		return Optional.of(new Reservation(attempt, chosen.get().id(), chosen.get().incarnation()));
	}

	/**
	 * Start a reserved attempt. Idempotent.
	 * @param start the attempt to start
	 * @return {@code true} if the reservation was still held
	 */
	public boolean start(StartTask start) {
		Optional<TrackedWorker> startable = this.attemptEvents.worker(start.attempt())
			.filter((tracked) -> tracked.worker().grant(start.attempt()));
		startable.ifPresent((tracked) -> tracked.addStart(start));
		return startable.isPresent();
	}

	/**
	 * Stop an attempt, or prevent it from starting. The outcome is reported as an event.
	 * @param attempt the attempt
	 * @param worker the worker that the attempt was placed on
	 * @param team the team whose quota the attempt counts against
	 */
	public void stop(AttemptId attempt, WorkerId worker, String team) {
		this.attemptEvents.worker(attempt).or(() -> findWorker(worker)).ifPresent((tracked) -> {
			tracked.setTeam(attempt, team);
			this.attemptEvents.assign(attempt, tracked);
			tracked.addStop(attempt);
		});
	}

	private Optional<TrackedWorker> findWorker(WorkerId worker) {
		return this.racks.values().stream().map((rack) -> rack.worker(worker)).filter(Objects::nonNull).findFirst();
	}

	/**
	 * Release reservations whose attempts were not started. Idempotent.
	 * @param attempts the attempts
	 */
	public void release(Collection<AttemptId> attempts) {
		for (AttemptId attempt : attempts) {
			this.attemptEvents.worker(attempt).ifPresent((tracked) -> {
				tracked.worker().release(attempt);
				this.attemptEvents.remove(attempt);
			});
		}
	}

	/**
	 * Determine the state of an attempt whose state is unknown to its queue owner. The
	 * outcome is reported as an event. An attempt that the worker has not reported is
	 * gone only once the worker has refused it under this ownership: the worker may have
	 * a next owner that has started the attempt since the last report.
	 * @param attempt the attempt
	 * @param worker the worker that the attempt was placed on
	 * @param team the team whose quota the attempt counts against
	 */
	public void resolve(AttemptId attempt, WorkerId worker, String team) {
		findWorker(worker).ifPresent((tracked) -> resolve(attempt, tracked, team));
	}

	private void resolve(AttemptId attempt, TrackedWorker tracked, String team) {
		tracked.setTeam(attempt, team);
		if (tracked.isUnresponsive()) {
			this.attemptEvents.publish(tracked.createEvent(attempt, AttemptEventKind.LAPSED), tracked);
			return;
		}
		if (!tracked.worker().hasReported()) {
			return;
		}
		if (tracked.worker().attempts().contains(attempt)) {
			if (tracked.isRunningAcknowledged(attempt)) {
				this.attemptEvents.republishRunning(attempt, tracked);
			}
		}
		else {
			this.attemptEvents.assign(attempt, tracked);
			tracked.addStop(attempt);
		}
	}

	/**
	 * Publish the running attempts of a team again, for a new queue owner.
	 * @param team the team
	 */
	public void republishRunning(String team) {
		this.attemptEvents.republishRunning(team);
	}

	/**
	 * Send a heartbeat to every worker, release expired reservations and publish events
	 * for workers whose lease has expired.
	 */
	public void sendHeartbeats() {
		for (Rack rack : this.racks.values()) {
			for (TrackedWorker tracked : rack.workers()) {
				tracked.worker().expireReservations(this.clock.instant()).forEach(this.attemptEvents::remove);
				tracked.checkLease(this.monotonicNanos.getAsLong(), this.leaseDuration.toNanos())
					.forEach((event) -> this.attemptEvents.publish(event, tracked));
				sendCommand(rack, tracked);
			}
		}
	}

	/**
	 * Send pending starts and stops to their workers without waiting for the next
	 * heartbeat.
	 */
	public void sendUrgentCommands() {
		for (Rack rack : this.racks.values()) {
			rack.workers()
				.stream()
				.filter(TrackedWorker::isCommandUrgent)
				.forEach((tracked) -> sendCommand(rack, tracked));
		}
	}

	private void sendCommand(Rack rack, TrackedWorker tracked) {
		if (tracked.isCommandInFlight()) {
			return;
		}
		tracked.setCommandInFlight(true);
		WorkerCommand command = tracked.createCommand(rack.epoch(), this.leaseDuration.toMillis());
		this.agents.send(tracked.host(), command).whenCompleteAsync((report, failure) -> {
			tracked.setCommandInFlight(false);
			boolean isPresent = this.racks.get(rack.name()) == rack && rack.worker(tracked.worker().id()) == tracked;
			if (report != null && isPresent) {
				handleReport(rack, tracked, command, report);
			}
		}, this.controlExecutor);
	}

	private void handleReport(Rack rack, TrackedWorker tracked, WorkerCommand command, WorkerReport report) {
		if (!report.accepted()) {
			releaseOwnership(rack.name());
			return;
		}
		for (AttemptEvent event : tracked.applyReport(report, command, this.monotonicNanos.getAsLong())) {
			this.attemptEvents.publish(event, tracked);
		}
	}

	/**
	 * Return the events that have not been acknowledged.
	 * @return the events by team
	 */
	public Map<String, List<AttemptEvent>> unacknowledgedEvents() {
		return this.attemptEvents.unacknowledgedByTeam();
	}

	/**
	 * Handle the acknowledgement of an event by its queue owner, which has processed the
	 * event and, if required, stored its effects durably.
	 * @param event the event
	 */
	public void acknowledge(AttemptEvent event) {
		this.attemptEvents.acknowledge(event);
	}

	/**
	 * Return the summaries that queue owners use to select racks.
	 * @return a summary of each owned rack
	 */
	public List<RackSummary> summaries() {
		return this.racks.values().stream().map((rack) -> rack.summary(this.health)).toList();
	}

	/**
	 * Return the workers of the owned racks.
	 * @return the workers, to be used on the control thread only
	 */
	public List<Worker> workers() {
		return this.racks.values()
			.stream()
			.flatMap((rack) -> rack.workers().stream())
			.map(TrackedWorker::worker)
			.toList();
	}

}
