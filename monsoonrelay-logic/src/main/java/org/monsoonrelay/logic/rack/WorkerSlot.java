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
 * One worker as its rack's owner sees it: the ledger, the orders not yet confirmed and
 * the time of its last word. Not thread-safe: confined to the control thread.
 */
final class WorkerSlot {

	private final Worker worker;

	private Host host;

	private final Map<AttemptId, StartTask> starts = new LinkedHashMap<>();

	private final Set<AttemptId> stops = new LinkedHashSet<>();

	private final Set<AttemptId> forget = new LinkedHashSet<>();

	private final Map<AttemptId, String> teams = new HashMap<>();

	private final Set<AttemptId> announcedRunning = new HashSet<>();

	private long lastReportNanos;

	private boolean silent;

	private boolean callInFlight;

	private boolean urgentCall;

	WorkerSlot(Host host, long nowNanos) {
		this.host = host;
		this.worker = new Worker(new WorkerId(host.name()), host.capacity());
		this.lastReportNanos = nowNanos;
	}

	void order(StartTask start) {
		this.teams.put(start.attempt(), start.team());
		this.starts.put(start.attempt(), start);
		this.urgentCall = true;
	}

	void orderStop(AttemptId attempt) {
		this.starts.remove(attempt);
		this.stops.add(attempt);
		this.urgentCall = true;
	}

	void forget(AttemptId attempt) {
		this.forget.add(attempt);
		this.announcedRunning.remove(attempt);
		this.teams.remove(attempt);
	}

	WorkerCommand command(long epoch, long leaseMillis) {
		this.urgentCall = false;
		return new WorkerCommand(epoch, leaseMillis, this.worker.incarnation(), List.copyOf(this.starts.values()),
				List.copyOf(this.stops), List.copyOf(this.forget));
	}

	/**
	 * Take in a report and tell what it changes.
	 * @param report the worker's report
	 * @param sent the command it answers
	 * @param nowNanos monotonic time
	 * @return events for the queue owners
	 */
	List<AttemptEvent> take(WorkerReport report, WorkerCommand sent, long nowNanos) {
		this.lastReportNanos = nowNanos;
		this.silent = false;
		Map<AttemptId, Resources> running = new HashMap<>();
		List<AttemptEvent> events = new ArrayList<>();
		for (ReportedAttempt reported : report.attempts()) {
			if (reported.phase() == AttemptPhase.RUNNING) {
				running.put(reported.attempt(), reported.size());
			}
		}
		List<AttemptId> lost = this.worker.report(report.incarnation(), running);
		for (AttemptId attempt : lost) {
			this.starts.remove(attempt);
			this.stops.remove(attempt);
			events.add(event(attempt, AttemptEventKind.GONE));
		}
		Set<AttemptId> known = new HashSet<>();
		for (ReportedAttempt reported : report.attempts()) {
			known.add(reported.attempt());
			take(reported, events);
		}
		this.forget.removeIf((attempt) -> sent.forget().contains(attempt) && !known.contains(attempt));
		return events;
	}

	private void take(ReportedAttempt reported, List<AttemptEvent> events) {
		AttemptId attempt = reported.attempt();
		this.starts.remove(attempt);
		if (this.forget.contains(attempt)) {
			return;
		}
		this.teams.putIfAbsent(attempt, reported.team());
		if (reported.phase() != AttemptPhase.RUNNING) {
			this.stops.remove(attempt);
			this.worker.release(attempt);
		}
		events.add(event(attempt, kind(reported.phase())));
	}

	private static AttemptEventKind kind(AttemptPhase phase) {
		return switch (phase) {
			case RUNNING -> AttemptEventKind.RUNNING;
			case FINISHED -> AttemptEventKind.FINISHED;
			case FAILED -> AttemptEventKind.FAILED;
			case STOPPED -> AttemptEventKind.GONE;
		};
	}

	/**
	 * Mark the worker silent if its last word is older than the lease.
	 * @param nowNanos monotonic time
	 * @param leaseNanos the lease
	 * @return events for the queue owners, once for each time it falls silent
	 */
	List<AttemptEvent> checkSilence(long nowNanos, long leaseNanos) {
		if (this.silent || nowNanos - this.lastReportNanos < leaseNanos) {
			return List.of();
		}
		this.silent = true;
		this.announcedRunning.clear();
		return eventsForAll(AttemptEventKind.LAPSED);
	}

	private List<AttemptEvent> eventsForAll(AttemptEventKind kind) {
		return this.worker.attempts().stream().map((attempt) -> event(attempt, kind)).toList();
	}

	/**
	 * The host is gone, and with it all that ran or was to be stopped there.
	 * @return events for the queue owners
	 */
	List<AttemptEvent> gone() {
		Set<AttemptId> attempts = new LinkedHashSet<>(this.worker.attempts());
		attempts.addAll(this.stops);
		return attempts.stream().map((attempt) -> event(attempt, AttemptEventKind.GONE)).toList();
	}

	AttemptEvent event(AttemptId attempt, AttemptEventKind kind) {
		return new AttemptEvent(attempt, kind, this.worker.id());
	}

	void update(Host newHost, boolean leaving) {
		this.host = newHost;
		this.worker.setLeaving(leaving);
	}

	boolean announcedRunning(AttemptId attempt) {
		return this.announcedRunning.contains(attempt);
	}

	void announceRunning(AttemptId attempt) {
		this.announcedRunning.add(attempt);
	}

	boolean isUsable() {
		return !this.silent && this.worker.isReported() && !this.worker.isLeaving();
	}

	Worker worker() {
		return this.worker;
	}

	Host host() {
		return this.host;
	}

	String team(AttemptId attempt) {
		return this.teams.getOrDefault(attempt, "");
	}

	void teamOf(AttemptId attempt, String team) {
		this.teams.put(attempt, team);
	}

	boolean isSilent() {
		return this.silent;
	}

	boolean isCallInFlight() {
		return this.callInFlight;
	}

	void setCallInFlight(boolean inFlight) {
		this.callInFlight = inFlight;
	}

	boolean wantsUrgentCall() {
		return this.urgentCall;
	}

}
