package org.monsoonrelay.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.adapters.platform.HttpWorkerAgents.AttemptMessage;
import org.monsoonrelay.adapters.platform.HttpWorkerAgents.CommandMessage;
import org.monsoonrelay.adapters.platform.HttpWorkerAgents.ReportMessage;
import org.monsoonrelay.logic.rack.AttemptPhase;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.job.AttemptId;

/**
 * One worker: runs tasks under leases and fences commands by epoch. A start is refused
 * for an attempt that was stopped or has ended. Thread-safe.
 */
final class WorkerStandin {

	private static final int WHOLE_PERCENT = 100;

	private final Host host;

	private final ScheduledExecutorService timer;

	private final TaskLog log;

	private final CheckpointStore checkpoints;

	private final Map<AttemptId, Entry> attempts = new LinkedHashMap<>();

	private final Map<String, Long> forgotten = new HashMap<>();

	private long highestEpoch;

	private WorkerFault fault = WorkerFault.NONE;

	private WorkerUsage visibleUsage = new WorkerUsage(List.of());

	WorkerStandin(Host host, ScheduledExecutorService timer, TaskLog log, CheckpointStore checkpoints) {
		this.host = host;
		this.timer = timer;
		this.log = log;
		this.checkpoints = checkpoints;
	}

	/**
	 * Have an attempt save its progress and end. A later attempt at the task runs for the
	 * time that is left. Idempotent.
	 * @param attempt the attempt
	 */
	synchronized void checkpoint(AttemptId attempt) {
		Entry entry = this.attempts.get(attempt);
		if (entry != null && entry.phase == AttemptPhase.RUNNING) {
			long ranMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - entry.startedNanos);
			this.checkpoints.save(attempt, Math.max(1, entry.runMillis - ranMillis));
			end(attempt, AttemptPhase.STOPPED);
		}
	}

	/**
	 * Hold an attempt down to a share of its processors.
	 * @param attempt the attempt
	 * @param percent the share, 1 to 100
	 */
	synchronized void throttle(AttemptId attempt, int percent) {
		this.attempts.computeIfPresent(attempt, (key, entry) -> entry.throttled(percent));
	}

	/**
	 * What the attempts used when the usage was last taken.
	 * @return the usage
	 */
	synchronized WorkerUsage usage() {
		return this.visibleUsage;
	}

	/**
	 * Take the usage, which is shown until it is taken again.
	 */
	synchronized void takeUsage() {
		List<WorkerUsage.AttemptUsage> used = new ArrayList<>();
		this.attempts.forEach((attempt, entry) -> {
			if (entry.phase == AttemptPhase.RUNNING) {
				used.add(new WorkerUsage.AttemptUsage(attempt.toString(), entry.percent));
			}
		});
		this.visibleUsage = new WorkerUsage(used);
	}

	/**
	 * Take a command.
	 * @param command the command
	 * @return the report, or {@code null} if no answer is to be given
	 */
	synchronized ReportMessage command(CommandMessage command) {
		if (this.fault.agentFrozen()) {
			return null;
		}
		boolean accepted = command.epoch() >= this.highestEpoch;
		if (accepted) {
			this.highestEpoch = command.epoch();
			command.forget().forEach((attempt) -> forget(AttemptId.parse(attempt)));
			command.stops().forEach((attempt) -> stop(AttemptId.parse(attempt)));
			if (command.incarnation().equals(this.host.incarnation())) {
				command.starts().forEach(this::start);
			}
		}
		if (this.fault.loseAnswers() > 0) {
			this.fault = new WorkerFault(false, this.fault.failsAll(), this.fault.loseAnswers() - 1);
			return null;
		}
		return report(accepted);
	}

	private ReportMessage report(boolean accepted) {
		List<AttemptMessage> reported = new ArrayList<>();
		this.attempts.forEach((attempt, entry) -> reported
			.add(new AttemptMessage(attempt.toString(), entry.team, entry.size, 0, entry.phase)));
		return new ReportMessage(this.host.incarnation(), this.highestEpoch, accepted, reported);
	}

	private void start(AttemptMessage order) {
		AttemptId attempt = AttemptId.parse(order.attempt());
		boolean ended = attempt.attempt() <= this.forgotten.getOrDefault(task(attempt), 0L);
		if (this.attempts.containsKey(attempt)) {
			return;
		}
		boolean fits = this.host.capacity().covers(used().plus(order.size()));
		if (ended || !fits) {
			if (!fits) {
				this.log.overCommitted();
			}
			this.attempts.put(attempt, Entry.of(order, 0, AttemptPhase.STOPPED));
			return;
		}
		long runMillis = (order.runMillis() > 0) ? this.checkpoints.remaining(attempt).orElse(order.runMillis()) : 0;
		this.attempts.put(attempt, Entry.of(order, runMillis, AttemptPhase.RUNNING));
		this.log.started(attempt);
		if (this.fault.failsAll()) {
			end(attempt, AttemptPhase.FAILED);
		}
		else if (runMillis > 0) {
			this.timer.schedule(() -> end(attempt, AttemptPhase.FINISHED), runMillis, TimeUnit.MILLISECONDS);
		}
	}

	private Resources used() {
		Resources used = Resources.NONE;
		for (Entry entry : this.attempts.values()) {
			if (entry.phase == AttemptPhase.RUNNING) {
				used = used.plus(entry.size);
			}
		}
		return used;
	}

	private void stop(AttemptId attempt) {
		if (this.attempts.containsKey(attempt)) {
			end(attempt, AttemptPhase.STOPPED);
		}
		else {
			this.attempts.put(attempt, new Entry("", Resources.NONE, AttemptPhase.STOPPED, 0, 0, 0));
		}
	}

	private synchronized void end(AttemptId attempt, AttemptPhase phase) {
		Entry entry = this.attempts.get(attempt);
		if (entry != null && entry.phase == AttemptPhase.RUNNING) {
			this.attempts.put(attempt, entry.ended(phase));
			this.log.ended(attempt, phase == AttemptPhase.FINISHED);
		}
	}

	private void forget(AttemptId attempt) {
		Entry entry = this.attempts.get(attempt);
		if (entry != null && entry.phase != AttemptPhase.RUNNING) {
			this.attempts.remove(attempt);
			this.forgotten.merge(task(attempt), attempt.attempt(), Math::max);
		}
	}

	private static String task(AttemptId attempt) {
		return attempt.job().toString() + '/' + attempt.task();
	}

	synchronized void setFault(WorkerFault next) {
		this.fault = next;
	}

	Host host() {
		return this.host;
	}

	private record Entry(String team, Resources size, AttemptPhase phase, long runMillis, long startedNanos,
			int percent) {

		static Entry of(AttemptMessage order, long runMillis, AttemptPhase phase) {
			return new Entry(order.team(), order.size(), phase, runMillis, System.nanoTime(), WHOLE_PERCENT);
		}

		Entry ended(AttemptPhase how) {
			return new Entry(this.team, this.size, how, this.runMillis, this.startedNanos, this.percent);
		}

		Entry throttled(int share) {
			return new Entry(this.team, this.size, this.phase, this.runMillis, this.startedNanos, share);
		}

	}

}
