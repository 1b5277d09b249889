package org.monsoonrelay.logic.rack;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.placement.AttemptEventKind;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.Worker;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * State that a rack owner keeps for a worker: its commitments, the commands that the
 * worker has not confirmed and the time of its last report. Not thread-safe: confined to
 * the control thread.
 */
final class TrackedWorker {

	private final Worker worker;

	private Host host;

	private final Map<AttemptId, StartTask> pendingStarts = new LinkedHashMap<>();

	private final Set<AttemptId> pendingStops = new LinkedHashSet<>();

	private final Set<AttemptId> pendingForgets = new LinkedHashSet<>();

	private final Map<AttemptId, String> teamByAttempt = new HashMap<>();

	private final Set<AttemptId> acknowledgedRunning = new HashSet<>();

	private long lastReportNanos;

	private boolean unresponsive;

	private boolean commandInFlight;

	private boolean commandUrgent;

	TrackedWorker(Host host, long nowNanos) {
		this.host = host;
		this.worker = new Worker(new WorkerId(host.name()), host.capacity());
		this.lastReportNanos = nowNanos;
	}

	void addStart(StartTask start) {
		this.teamByAttempt.put(start.attempt(), start.team());
		this.pendingStarts.put(start.attempt(), start);
		this.commandUrgent = true;
	}

	void addStop(AttemptId attempt) {
		this.pendingStarts.remove(attempt);
		this.pendingStops.add(attempt);
		this.commandUrgent = true;
	}

	void addForget(AttemptId attempt) {
		this.pendingForgets.add(attempt);
		this.acknowledgedRunning.remove(attempt);
		this.teamByAttempt.remove(attempt);
	}

	WorkerCommand createCommand(long epoch, long leaseMillis) {
		this.commandUrgent = false;
		return new WorkerCommand(epoch, leaseMillis, this.worker.incarnation(),
				List.copyOf(this.pendingStarts.values()), List.copyOf(this.pendingStops),
				List.copyOf(this.pendingForgets));
	}

	/**
	 * Apply a report and return the resulting events.
	 * @param report the worker's report
	 * @param sent the command that the report responds to
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return events for the queue owners
	 */
	List<AttemptEvent> applyReport(WorkerReport report, WorkerCommand sent, long nowNanos) {
		this.lastReportNanos = nowNanos;
		this.unresponsive = false;
		Map<AttemptId, Resources> running = new HashMap<>();
		List<AttemptEvent> events = new ArrayList<>();
		for (ReportedAttempt reported : report.attempts()) {
			if (reported.phase() == AttemptPhase.RUNNING) {
				running.put(reported.attempt(), reported.size());
			}
		}
		List<AttemptId> lost = this.worker.applyReport(report.incarnation(), running);
		for (AttemptId attempt : lost) {
			this.pendingStarts.remove(attempt);
			this.pendingStops.remove(attempt);
			events.add(createEvent(attempt, AttemptEventKind.GONE));
		}
		Set<AttemptId> known = new HashSet<>();
		for (ReportedAttempt reported : report.attempts()) {
			known.add(reported.attempt());
			applyReportedAttempt(reported, events);
		}
		this.pendingForgets.removeIf((attempt) -> sent.forget().contains(attempt) && !known.contains(attempt));
		return events;
	}

	private void applyReportedAttempt(ReportedAttempt reported, List<AttemptEvent> events) {
		AttemptId attempt = reported.attempt();
		this.pendingStarts.remove(attempt);
		if (this.pendingForgets.contains(attempt)) {
			return;
		}
		this.teamByAttempt.putIfAbsent(attempt, reported.team());
		if (reported.phase() != AttemptPhase.RUNNING) {
			this.pendingStops.remove(attempt);
			this.worker.release(attempt);
		}
		events.add(createEvent(attempt, eventKind(reported.phase())));
	}

	private static AttemptEventKind eventKind(AttemptPhase phase) {
		return switch (phase) {
			case RUNNING -> AttemptEventKind.RUNNING;
			case FINISHED -> AttemptEventKind.FINISHED;
			case FAILED -> AttemptEventKind.FAILED;
			case STOPPED -> AttemptEventKind.GONE;
		};
	}

	/**
	 * Mark the worker as unresponsive if its last report is older than the lease.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param leaseNanos the lease duration in nanoseconds
	 * @return events for the queue owners, empty unless the worker has just become
	 * unresponsive
	 */
	List<AttemptEvent> checkLease(long nowNanos, long leaseNanos) {
		if (this.unresponsive || nowNanos - this.lastReportNanos < leaseNanos) {
			return List.of();
		}
		this.unresponsive = true;
		this.acknowledgedRunning.clear();
		return createEventsForAll(AttemptEventKind.LAPSED);
	}

	private List<AttemptEvent> createEventsForAll(AttemptEventKind kind) {
		return this.worker.attempts().stream().map((attempt) -> createEvent(attempt, kind)).toList();
	}

	/**
	 * Create the events for the removal of the host: all attempts that were placed there
	 * or had a pending stop are gone.
	 * @return events for the queue owners
	 */
	List<AttemptEvent> createHostRemovedEvents() {
		Set<AttemptId> attempts = new LinkedHashSet<>(this.worker.attempts());
		attempts.addAll(this.pendingStops);
		return attempts.stream().map((attempt) -> createEvent(attempt, AttemptEventKind.GONE)).toList();
	}

	AttemptEvent createEvent(AttemptId attempt, AttemptEventKind kind) {
		return new AttemptEvent(attempt, kind, this.worker.id());
	}

	void update(Host newHost, boolean leaving) {
		this.host = newHost;
		this.worker.setLeaving(leaving);
	}

	boolean isRunningAcknowledged(AttemptId attempt) {
		return this.acknowledgedRunning.contains(attempt);
	}

	void markRunningAcknowledged(AttemptId attempt) {
		this.acknowledgedRunning.add(attempt);
	}

	boolean isUsable() {
		return !this.unresponsive && this.worker.hasReported() && !this.worker.isLeaving();
	}

	Worker worker() {
		return this.worker;
	}

	Host host() {
		return this.host;
	}

	String team(AttemptId attempt) {
		return this.teamByAttempt.getOrDefault(attempt, "");
	}

	void setTeam(AttemptId attempt, String team) {
		this.teamByAttempt.put(attempt, team);
	}

	boolean isUnresponsive() {
		return this.unresponsive;
	}

	boolean isCommandInFlight() {
		return this.commandInFlight;
	}

	void setCommandInFlight(boolean inFlight) {
		this.commandInFlight = inFlight;
	}

	boolean isCommandUrgent() {
		return this.commandUrgent;
	}

}
