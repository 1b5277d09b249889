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

	private final Executor control;

	private final InstantSource clock;

	private final LongSupplier monotonicNanos;

	private final Duration lease;

	private final Map<String, Rack> racks = new TreeMap<>();

	private final WorkerHealth health;

	private final AttemptEvents attempts;

	private HostList hosts = new HostList(0, List.of());

	public RackManager(WorkerAgents agents, Executor control, InstantSource clock, LongSupplier monotonicNanos,
			Duration lease) {
		this.agents = agents;
		this.control = control;
		this.clock = clock;
		this.monotonicNanos = monotonicNanos;
		this.lease = lease;
		this.health = new WorkerHealth(monotonicNanos);
		this.attempts = new AttemptEvents(this.health::judge);
	}

	/**
	 * Begin to own a rack. Its workers take no new work until they have reported.
	 * @param rack the rack
	 * @param epoch epoch of the ownership
	 */
	public void own(String rack, long epoch) {
		Rack present = this.racks.get(rack);
		if (present == null || present.epoch() < epoch) {
			disown(rack);
			this.racks.put(rack, new Rack(rack, epoch));
			populate();
		}
	}

	/**
	 * Cease to own a rack. What runs there goes on under its next owner.
	 * @param rack the rack
	 */
	public void disown(String rack) {
		Rack removed = this.racks.remove(rack);
		if (removed != null) {
			this.attempts.forgetAll(removed.slots());
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
		populate();
		Set<String> listed = list.hosts().stream().map(Host::name).collect(Collectors.toSet());
		for (Rack rack : this.racks.values()) {
			rack.slots()
				.stream()
				.filter((slot) -> !listed.contains(slot.host().name()))
				.toList()
				.forEach((slot) -> remove(rack, slot));
		}
	}

	private void populate() {
		for (Host host : this.hosts.hosts()) {
			Rack rack = this.racks.get(host.rack());
			if (host.kind() == HostKind.WORKER && rack != null) {
				rack.put(host, this.monotonicNanos.getAsLong());
			}
		}
	}

	private void remove(Rack rack, WorkerSlot slot) {
		rack.remove(slot.worker().id());
		slot.gone().forEach((event) -> this.attempts.post(event, slot));
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
			place(rack, request, attempt).ifPresent(reserved::add);
		}
		return reserved;
	}

	private Optional<Reservation> place(Rack rack, ReservationRequest request, AttemptId attempt) {
		Optional<WorkerSlot> held = this.attempts.slot(attempt);
		if (held.isPresent()) {
			Worker worker = held.get().worker();
			return Optional.of(new Reservation(attempt, worker.id(), worker.incarnation()));
		}
		Optional<Worker> chosen = this.health.choose(rack.usableWorkers(this.health), request, attempt.job());
		if (chosen.isEmpty() || !chosen.get().reserve(attempt, request.size(), request.deadline())) {
			return Optional.empty();
		}
		WorkerSlot slot = rack.slot(chosen.get().id());
		slot.teamOf(attempt, request.team());
		this.attempts.put(attempt, slot);
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
		Optional<WorkerSlot> granted = this.attempts.slot(start.attempt())
			.filter((slot) -> slot.worker().grant(start.attempt()));
		granted.ifPresent((slot) -> slot.order(start));
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
		this.attempts.slot(attempt).or(() -> slotOf(worker)).ifPresent((slot) -> {
			slot.teamOf(attempt, team);
			this.attempts.put(attempt, slot);
			slot.orderStop(attempt);
		});
	}

	private Optional<WorkerSlot> slotOf(WorkerId worker) {
		return this.racks.values().stream().map((rack) -> rack.slot(worker)).filter(Objects::nonNull).findFirst();
	}

	/**
	 * Give back reservations that were never started. Idempotent.
	 * @param attempts the attempts
	 */
	public void release(Collection<AttemptId> attempts) {
		for (AttemptId attempt : attempts) {
			this.attempts.slot(attempt).ifPresent((slot) -> {
				slot.worker().release(attempt);
				this.attempts.forget(attempt);
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
		slotOf(worker).ifPresent((slot) -> resolve(attempt, slot, incarnation, team));
	}

	private void resolve(AttemptId attempt, WorkerSlot slot, String incarnation, String team) {
		slot.teamOf(attempt, team);
		if (slot.isSilent()) {
			this.attempts.post(slot.event(attempt, AttemptEventKind.LAPSED), slot);
			return;
		}
		if (!slot.worker().isReported()) {
			return;
		}
		if (slot.worker().attempts().contains(attempt)) {
			if (slot.announcedRunning(attempt)) {
				this.attempts.postRunning(attempt, slot);
			}
		}
		else if (!slot.worker().incarnation().equals(incarnation)) {
			this.attempts.post(slot.event(attempt, AttemptEventKind.GONE), slot);
		}
		else {
			this.attempts.put(attempt, slot);
			slot.orderStop(attempt);
		}
	}

	/**
	 * Post again all that is known of a team's attempts, for a new queue owner.
	 * @param team the team
	 */
	public void claim(String team) {
		this.attempts.postRunning(team);
	}

	/**
	 * Send a heartbeat to every worker, and release reservations that have lapsed.
	 */
	public void heartbeat() {
		for (Rack rack : this.racks.values()) {
			for (WorkerSlot slot : rack.slots()) {
				slot.worker().lapse(this.clock.instant()).forEach(this.attempts::forget);
				slot.checkSilence(this.monotonicNanos.getAsLong(), this.lease.toNanos())
					.forEach((event) -> this.attempts.post(event, slot));
				call(rack, slot);
			}
		}
	}

	/**
	 * Send the orders that cannot wait for the next heartbeat.
	 */
	public void sendOrders() {
		for (Rack rack : this.racks.values()) {
			rack.slots().stream().filter(WorkerSlot::wantsUrgentCall).forEach((slot) -> call(rack, slot));
		}
	}

	private void call(Rack rack, WorkerSlot slot) {
		if (slot.isCallInFlight()) {
			return;
		}
		slot.setCallInFlight(true);
		WorkerCommand command = slot.command(rack.epoch(), this.lease.toMillis());
		this.agents.send(slot.host(), command).whenCompleteAsync((report, failure) -> {
			slot.setCallInFlight(false);
			if (report != null && this.racks.get(rack.name()) == rack) {
				answered(rack, slot, command, report);
			}
		}, this.control);
	}

	private void answered(Rack rack, WorkerSlot slot, WorkerCommand command, WorkerReport report) {
		if (!report.accepted()) {
			disown(rack.name());
			return;
		}
		for (AttemptEvent event : slot.take(report, command, this.monotonicNanos.getAsLong())) {
			this.attempts.post(event, slot);
		}
	}

	/**
	 * Events not yet acknowledged, by team.
	 * @return the events
	 */
	public Map<String, List<AttemptEvent>> events() {
		return this.attempts.byTeam();
	}

	/**
	 * A queue owner has taken in an event and, where it has to last, made it durable.
	 * @param event the event
	 */
	public void acknowledge(AttemptEvent event) {
		this.attempts.acknowledge(event);
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
		return this.racks.values().stream().flatMap((rack) -> rack.slots().stream()).map(WorkerSlot::worker).toList();
	}

}
