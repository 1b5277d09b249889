package org.monsoonrelay.logic.fakes;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.rack.AttemptPhase;
import org.monsoonrelay.logic.rack.ReportedAttempt;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.logic.rack.WorkerAgents;
import org.monsoonrelay.logic.rack.WorkerCommand;
import org.monsoonrelay.logic.rack.WorkerReport;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.job.AttemptId;

/**
 * Workers in memory that fence by epoch and count what they run. Faults for each worker:
 * cut off, agent frozen while its tasks run on, answers lost, commands late, fails all.
 * Not thread-safe.
 */
public final class FakeWorkers implements WorkerAgents {

	private final Map<String, FakeWorker> workers = new TreeMap<>();

	private final Map<String, Integer> runs = new HashMap<>();

	private final Map<String, Integer> runningNow = new HashMap<>();

	private int maximumConcurrentRuns;

	private String failingJobs = "none";

	@Override
	public CompletableFuture<WorkerReport> send(Host host, WorkerCommand command) {
		FakeWorker worker = worker(host.name());
		if (worker.unreachable) {
			return noAnswer();
		}
		if (worker.commandsLate) {
			worker.late.add(command);
			return noAnswer();
		}
		WorkerReport report = worker.take(command);
		return worker.answersLost ? noAnswer() : CompletableFuture.completedFuture(report);
	}

	private static CompletableFuture<WorkerReport> noAnswer() {
		return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
	}

	/**
	 * A worker by its host's name.
	 * @param name the name
	 * @return the worker
	 */
	public FakeWorker worker(String name) {
		return this.workers.computeIfAbsent(name, (key) -> new FakeWorker());
	}

	/**
	 * Let jobs fail wherever they are started.
	 * @param names pattern of their names
	 */
	public void failJobs(String names) {
		this.failingJobs = names;
	}

	/**
	 * How often tasks were started, over all workers.
	 * @return runs by {@code name@run/task}
	 */
	public Map<String, Integer> runs() {
		return this.runs;
	}

	/**
	 * The most runs of one task that ever were under way at once.
	 * @return the count
	 */
	public int maximumConcurrentRuns() {
		return this.maximumConcurrentRuns;
	}

	/**
	 * Attempts that run now.
	 * @return the attempts
	 */
	public List<AttemptId> running() {
		return this.workers.values()
			.stream()
			.flatMap((worker) -> worker.attempts.values().stream())
			.filter((entry) -> entry.phase() == AttemptPhase.RUNNING)
			.map(ReportedAttempt::attempt)
			.toList();
	}

	/**
	 * Commands that reached workers.
	 * @return the count
	 */
	public int commands() {
		return this.workers.values().stream().mapToInt(FakeWorker::commands).sum();
	}

	/**
	 * End all that runs, well.
	 */
	public void finishAll() {
		this.workers.values().forEach((worker) -> worker.endAll(AttemptPhase.FINISHED));
	}

	private static String task(AttemptId attempt) {
		return attempt.job().toString() + '/' + attempt.task();
	}

	/**
	 * One worker.
	 */
	public final class FakeWorker {

		private final Map<AttemptId, ReportedAttempt> attempts = new LinkedHashMap<>();

		private final Map<String, Long> forgotten = new HashMap<>();

		private final List<WorkerCommand> late = new ArrayList<>();

		private int incarnation = 1;

		private long highestEpoch;

		private boolean unreachable;

		private boolean answersLost;

		private boolean commandsLate;

		private boolean failsAll;

		private int failures;

		private int commands;

		private WorkerReport take(WorkerCommand command) {
			this.commands++;
			boolean accepted = command.epoch() >= this.highestEpoch;
			if (accepted) {
				this.highestEpoch = command.epoch();
				command.forget().forEach(this::forget);
				command.stops().forEach(this::stop);
				if (command.incarnation().equals(incarnation())) {
					command.starts().forEach(this::start);
				}
			}
			return new WorkerReport(incarnation(), this.highestEpoch, accepted, List.copyOf(this.attempts.values()));
		}

		private void forget(AttemptId attempt) {
			ReportedAttempt entry = this.attempts.get(attempt);
			if (entry != null && entry.phase() != AttemptPhase.RUNNING) {
				this.attempts.remove(attempt);
				this.forgotten.merge(task(attempt), attempt.attempt(), Math::max);
			}
		}

		private void stop(AttemptId attempt) {
			this.attempts.putIfAbsent(attempt, new ReportedAttempt(attempt, "", Resources.NONE, AttemptPhase.STOPPED));
			end(attempt, AttemptPhase.STOPPED);
		}

		private void start(StartTask start) {
			AttemptId attempt = start.attempt();
			if (this.attempts.containsKey(attempt)) {
				return;
			}
			boolean ended = attempt.attempt() <= this.forgotten.getOrDefault(task(attempt), 0L);
			AttemptPhase phase = ended ? AttemptPhase.STOPPED : AttemptPhase.RUNNING;
			this.attempts.put(attempt, new ReportedAttempt(attempt, start.team(), start.size(), phase));
			if (!ended) {
				FakeWorkers.this.runs.merge(task(attempt), 1, Integer::sum);
				int now = FakeWorkers.this.runningNow.merge(task(attempt), 1, Integer::sum);
				FakeWorkers.this.maximumConcurrentRuns = Math.max(FakeWorkers.this.maximumConcurrentRuns, now);
			}
			if (!ended && (this.failsAll || attempt.job().name().matches(FakeWorkers.this.failingJobs))) {
				this.failures++;
				end(attempt, AttemptPhase.FAILED);
			}
		}

		private void end(AttemptId attempt, AttemptPhase phase) {
			ReportedAttempt entry = this.attempts.get(attempt);
			if (entry.phase() == AttemptPhase.RUNNING) {
				this.attempts.put(attempt, new ReportedAttempt(attempt, entry.team(), entry.size(), phase));
				FakeWorkers.this.runningNow.merge(task(attempt), -1, Integer::sum);
			}
		}

		/**
		 * End all that runs here.
		 * @param phase how it ends
		 */
		public void endAll(AttemptPhase phase) {
			List.copyOf(this.attempts.keySet()).forEach((attempt) -> end(attempt, phase));
		}

		/**
		 * Start anew: what ran is gone.
		 */
		public void restart() {
			endAll(AttemptPhase.STOPPED);
			this.attempts.clear();
			this.forgotten.clear();
			this.highestEpoch = 0;
			this.incarnation++;
		}

		/**
		 * Let the held commands arrive; nobody waits for their answers any more.
		 */
		public void deliverLateCommands() {
			this.commandsLate = false;
			this.late.forEach(this::take);
			this.late.clear();
		}

		private String incarnation() {
			return "incarnation-" + this.incarnation;
		}

		public void setUnreachable(boolean isUnreachable) {
			this.unreachable = isUnreachable;
		}

		public void setAnswersLost(boolean areLost) {
			this.answersLost = areLost;
		}

		public void setCommandsLate(boolean areLate) {
			this.commandsLate = areLate;
		}

		public void setFailsAll(boolean all) {
			this.failsAll = all;
		}

		public int failures() {
			return this.failures;
		}

		public int commands() {
			return this.commands;
		}

		/**
		 * Attempts that the worker still has to report.
		 * @return the attempts
		 */
		public List<AttemptId> known() {
			return List.copyOf(this.attempts.keySet());
		}

		/**
		 * Attempts that run here.
		 * @return the count
		 */
		public int runningCount() {
			return (int) this.attempts.values()
				.stream()
				.filter((entry) -> entry.phase() == AttemptPhase.RUNNING)
				.count();
		}

	}

}
