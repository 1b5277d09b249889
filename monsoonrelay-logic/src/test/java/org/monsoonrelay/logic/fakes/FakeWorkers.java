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
 * In-memory workers that fence commands by epoch and count runs. Faults that can be
 * injected per worker: unreachable (its tasks keep running), answers lost, commands
 * delayed, and failure of all tasks. Not thread-safe.
 */
public final class FakeWorkers implements WorkerAgents {

	private final Map<String, FakeWorker> workers = new TreeMap<>();

	private final Map<String, Integer> runs = new HashMap<>();

	private final Map<String, Integer> runningByTask = new HashMap<>();

	private int maximumConcurrentRuns;

	private String failingJobs = "none";

	@Override
	public CompletableFuture<WorkerReport> send(Host host, WorkerCommand command) {
		FakeWorker worker = worker(host.name());
		if (worker.unreachable) {
			return noAnswer();
		}
		if (worker.commandsLate) {
			worker.lateCommands.add(command);
			return noAnswer();
		}
		WorkerReport report = worker.execute(command);
		return worker.answersLost ? noAnswer() : CompletableFuture.completedFuture(report);
	}

	private static CompletableFuture<WorkerReport> noAnswer() {
		return CompletableFuture.failedFuture(new IllegalStateException("no answer"));
	}

	/**
	 * The worker with a host name, created on first use.
	 * @param name the name
	 * @return the worker
	 */
	public FakeWorker worker(String name) {
		return this.workers.computeIfAbsent(name, (key) -> new FakeWorker());
	}

	/**
	 * Make jobs fail on every worker.
	 * @param names regular expression for the names of the jobs
	 */
	public void failJobs(String names) {
		this.failingJobs = names;
	}

	/**
	 * The number of runs of each task on all workers.
	 * @return number of runs by {@code name@run/task}
	 */
	public Map<String, Integer> runs() {
		return this.runs;
	}

	/**
	 * The maximum number of concurrent runs of one task so far.
	 * @return the count
	 */
	public int maximumConcurrentRuns() {
		return this.maximumConcurrentRuns;
	}

	/**
	 * The running attempts on all workers.
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
	 * The number of commands received by all workers.
	 * @return the count
	 */
	public int commands() {
		return this.workers.values().stream().mapToInt(FakeWorker::commands).sum();
	}

	/**
	 * Finish all running attempts successfully.
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

		private final List<WorkerCommand> lateCommands = new ArrayList<>();

		private int incarnation = 1;

		private long highestEpoch;

		private boolean unreachable;

		private boolean answersLost;

		private boolean commandsLate;

		private boolean failsAll;

		private int failures;

		private int commands;

		private WorkerReport execute(WorkerCommand command) {
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
				int now = FakeWorkers.this.runningByTask.merge(task(attempt), 1, Integer::sum);
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
				FakeWorkers.this.runningByTask.merge(task(attempt), -1, Integer::sum);
			}
		}

		/**
		 * End all attempts running on this worker.
		 * @param phase the final phase
		 */
		public void endAll(AttemptPhase phase) {
			List.copyOf(this.attempts.keySet()).forEach((attempt) -> end(attempt, phase));
		}

		/**
		 * Restart the worker, which loses all attempts.
		 */
		public void restart() {
			endAll(AttemptPhase.STOPPED);
			this.attempts.clear();
			this.forgotten.clear();
			this.highestEpoch = 0;
			this.incarnation++;
		}

		/**
		 * Deliver the delayed commands; their answers are discarded.
		 */
		public void deliverLateCommands() {
			this.commandsLate = false;
			this.lateCommands.forEach(this::execute);
			this.lateCommands.clear();
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
		 * The attempts that the worker still reports.
		 * @return the attempts
		 */
		public List<AttemptId> known() {
			return List.copyOf(this.attempts.keySet());
		}

		/**
		 * The number of attempts running on this worker.
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
