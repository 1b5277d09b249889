package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

import org.monsoonrelay.logic.pool.RunRequestOutcome.Kind;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * In-memory workers on virtual time. They implement leases, fencing tokens and
 * terminations that are reported until acknowledged, and can simulate faults. They
 * execute each valid start request and record violations of the scheduler's guarantees:
 * two concurrent runs of a task, runs that exceed the capacity, and a start after an
 * acknowledged successful termination. Not thread-safe.
 */
final class SimulatedWorkers {

	private static final long ONE_WAY_LATENCY_MILLIS = 1;

	private static final long REQUEST_TIMEOUT_MILLIS = 450;

	private static final long LONG_POLL_MILLIS = 40;

	private final VirtualTime time;

	private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();

	private final ToLongFunction<TaskKey> runMillis;

	private final Map<TaskKey, Integer> runningTasks = new HashMap<>();

	private final Set<TaskKey> acknowledgedTasks = new HashSet<>();

	private final Map<TaskKey, Integer> startCounts = new HashMap<>();

	private final List<String> violations = new ArrayList<>();

	private Resources taskSize = Resources.NONE;

	SimulatedWorkers(VirtualTime time, ToLongFunction<TaskKey> runMillis) {
		this.time = time;
		this.runMillis = runMillis;
	}

	SimulatedWorkers taskSize(Resources size) {
		this.taskSize = size;
		return this;
	}

	SimulatedWorker add(String id, Resources capacity) {
		SimulatedWorker worker = new SimulatedWorker(
				new WorkerInfo(id, "salon", "10.0.0.1:1", "porto", capacity, List.of("a", "r1"), "r1", false, 0));
		this.workers.put(id, worker);
		return worker;
	}

	List<WorkerInfo> listedWorkers() {
		return this.workers.values().stream().filter((worker) -> worker.listed).map((worker) -> worker.info).toList();
	}

	/**
	 * Marks a worker as draining in the host list.
	 * @param id the worker's id
	 */
	void drain(String id) {
		SimulatedWorker worker = this.workers.get(id);
		WorkerInfo info = worker.info;
		worker.info = new WorkerInfo(info.id(), info.service(), info.address(), info.failureDomain(), info.capacity(),
				info.labels(), info.rack(), true, 2000);
	}

	String workerRunning(TaskKey task) {
		return this.workers.values()
			.stream()
			.filter((worker) -> worker.runningAttempts.containsKey(task))
			.map((worker) -> worker.info.id())
			.findFirst()
			.orElseThrow();
	}

	/**
	 * Crashes a worker and removes it from the host list.
	 * @param id the worker's id
	 */
	void crash(String id) {
		this.workers.get(id).crash();
		this.workers.get(id).removeFromList();
	}

	List<String> violations() {
		return this.violations;
	}

	int startCount(TaskKey task) {
		return this.startCounts.getOrDefault(task, 0);
	}

	/**
	 * Returns the tasks that are running on any worker.
	 * @return the running tasks
	 */
	Set<TaskKey> runningTasks() {
		return this.runningTasks.keySet();
	}

	int runningTaskCount() {
		return this.runningTasks.size();
	}

	/**
	 * Creates the client of one scheduler process, which can be disconnected from some
	 * workers.
	 * @return the client
	 */
	Client client() {
		return new Client();
	}

	/** One simulated worker. */
	final class SimulatedWorker {

		private final Map<TaskKey, Integer> runningAttempts = new LinkedHashMap<>();

		private final Map<TaskKey, Integer> highestTerminatedAttempts = new HashMap<>();

		private final List<TerminatedTask> terminatedTasks = new ArrayList<>();

		private WorkerInfo info;

		private long highestFencingToken;

		private long lastSequence;

		private long leaseEndMillis;

		private boolean listed = true;

		private boolean crashed;

		private boolean failing;

		private boolean losesStartResponses;

		private long startDelayMillis;

		SimulatedWorker(WorkerInfo info) {
			this.info = info;
		}

		void removeFromList() {
			this.listed = false;
		}

		void crash() {
			this.crashed = true;
			this.runningAttempts.keySet().forEach((task) -> SimulatedWorkers.this.runningTasks.remove(task));
			this.runningAttempts.clear();
		}

		void setFailing(boolean isFailing) {
			this.failing = isFailing;
		}

		void setLosesStartResponses(boolean isLosing) {
			this.losesStartResponses = isLosing;
		}

		void setStartDelayMillis(long millis) {
			this.startDelayMillis = millis;
		}

		int runningCount() {
			return this.runningAttempts.size();
		}

		private boolean rejectsFencingToken(long fencingToken) {
			if (fencingToken < this.highestFencingToken) {
				return true;
			}
			this.highestFencingToken = fencingToken;
			return false;
		}

		private void extendLease(long endMillis) {
			this.leaseEndMillis = Math.max(this.leaseEndMillis, endMillis);
			SimulatedWorkers.this.time.schedule(this::terminateIfLeaseExpired,
					Math.max(0, endMillis - SimulatedWorkers.this.time.millis()) + 1, TimeUnit.MILLISECONDS);
		}

		private void terminateIfLeaseExpired() {
			if (SimulatedWorkers.this.time.millis() > this.leaseEndMillis) {
				List.copyOf(this.runningAttempts.keySet()).forEach((task) -> terminate(task, TerminationReason.LAPSED));
			}
		}

		private void terminate(TaskKey task, TerminationReason reason) {
			Integer attempt = this.runningAttempts.remove(task);
			if (attempt == null) {
				return;
			}
			SimulatedWorkers.this.runningTasks.remove(task);
			this.highestTerminatedAttempts.merge(task, attempt, Math::max);
			this.lastSequence++;
			this.terminatedTasks.add(new TerminatedTask(this.lastSequence, task, attempt, reason, ""));
		}

		private void startRun(TaskKey task, int attempt) {
			SimulatedWorkers simulation = SimulatedWorkers.this;
			simulation.startCounts.merge(task, 1, Integer::sum);
			if (simulation.runningTasks.putIfAbsent(task, attempt) != null) {
				simulation.violations.add("two concurrent runs of " + task);
			}
			if (simulation.acknowledgedTasks.contains(task)) {
				simulation.violations.add("start after the acknowledged termination of " + task);
			}
			this.runningAttempts.put(task, attempt);
			if (!this.info.capacity().covers(simulation.taskSize.times(this.runningAttempts.size()))) {
				simulation.violations.add("runs exceed the capacity of " + this.info.id());
			}
			TerminationReason reason = this.failing ? TerminationReason.FAILED : TerminationReason.DONE;
			simulation.time.schedule(() -> terminateAttempt(task, attempt, reason),
					simulation.runMillis.applyAsLong(task), TimeUnit.MILLISECONDS);
		}

		private void terminateAttempt(TaskKey task, int attempt, TerminationReason reason) {
			if (Integer.valueOf(attempt).equals(this.runningAttempts.get(task))) {
				terminate(task, reason);
			}
		}

		private RunRequestOutcome start(RunStartRequest request) {
			long now = SimulatedWorkers.this.time.millis();
			if (rejectsFencingToken(request.fencingToken())) {
				return new RunRequestOutcome(Kind.FENCED, now);
			}
			if (request.leaseEndMillis() < now) {
				return new RunRequestOutcome(Kind.TOO_LATE, now);
			}
			extendLease(request.leaseEndMillis());
			if (Integer.valueOf(request.attempt()).equals(this.runningAttempts.get(request.task()))) {
				return new RunRequestOutcome(Kind.DONE, now);
			}
			if (this.highestTerminatedAttempts.getOrDefault(request.task(), 0) >= request.attempt()) {
				return new RunRequestOutcome(Kind.OLD_ATTEMPT, now);
			}
			startRun(request.task(), request.attempt());
			return new RunRequestOutcome(Kind.DONE, now);
		}

		private RunRequestOutcome stop(TaskKey task, int attempt, long fencingToken) {
			long now = SimulatedWorkers.this.time.millis();
			if (rejectsFencingToken(fencingToken)) {
				return new RunRequestOutcome(Kind.FENCED, now);
			}
			this.highestTerminatedAttempts.merge(task, attempt, Math::max);
			if (Integer.valueOf(attempt).equals(this.runningAttempts.get(task))) {
				terminate(task, TerminationReason.STOPPED);
			}
			return new RunRequestOutcome(Kind.DONE, now);
		}

		private PollOutcome poll(PollRequest request) {
			if (rejectsFencingToken(request.fencingToken())) {
				return new PollOutcome.Fenced();
			}
			request.leaseEndMillis().ifPresent(this::extendLease);
			for (TerminatedTask terminated : List.copyOf(this.terminatedTasks)) {
				if (terminated.sequence() <= request.acknowledgedSequence()) {
					this.terminatedTasks.remove(terminated);
					if (terminated.reason() == TerminationReason.DONE) {
						SimulatedWorkers.this.acknowledgedTasks.add(terminated.task());
					}
				}
			}
			List<RunningTask> running = new ArrayList<>();
			this.runningAttempts.forEach((task, attempt) -> running.add(new RunningTask(task, attempt, "", 100, 0)));
			return new PollOutcome.Report(SimulatedWorkers.this.time.millis(), running, this.terminatedTasks);
		}

	}

	/** The client of one scheduler process. */
	final class Client implements WorkerClient {

		private final Set<String> disconnectedWorkers = new HashSet<>();

		void disconnect(String worker) {
			this.disconnectedWorkers.add(worker);
		}

		void reconnect(String worker) {
			this.disconnectedWorkers.remove(worker);
		}

		private boolean isUnreachable(SimulatedWorker worker) {
			return worker.crashed || this.disconnectedWorkers.contains(worker.info.id());
		}

		private SimulatedWorker findWorker(WorkerInfo info) {
			return SimulatedWorkers.this.workers.get(info.id());
		}

		@Override
		public CompletableFuture<PollOutcome> poll(WorkerInfo info, PollRequest request) {
			CompletableFuture<PollOutcome> response = new CompletableFuture<>();
			SimulatedWorker worker = findWorker(info);
			if (isUnreachable(worker)) {
				after(REQUEST_TIMEOUT_MILLIS, () -> response.complete(new PollOutcome.NoAnswer("no answer")));
				return response;
			}
			after(ONE_WAY_LATENCY_MILLIS, () -> {
				PollOutcome immediate = worker.poll(request);
				boolean isDelayed = immediate instanceof PollOutcome.Report report && report.terminatedTasks().isEmpty()
						&& !request.maxWait().isZero();
				after(isDelayed ? LONG_POLL_MILLIS : ONE_WAY_LATENCY_MILLIS, () -> response
					.complete(isUnreachable(worker) ? new PollOutcome.NoAnswer("cut") : worker.poll(request)));
			});
			return response;
		}

		@Override
		public CompletableFuture<RunRequestOutcome> start(WorkerInfo info, RunStartRequest request) {
			SimulatedWorker worker = findWorker(info);
			CompletableFuture<RunRequestOutcome> response = new CompletableFuture<>();
			if (isUnreachable(worker)) {
				after(REQUEST_TIMEOUT_MILLIS, () -> response.complete(RunRequestOutcome.NO_ANSWER));
			}
			else if (worker.startDelayMillis > 0) {
				after(worker.startDelayMillis, () -> worker.start(request));
				after(REQUEST_TIMEOUT_MILLIS, () -> response.complete(RunRequestOutcome.NO_ANSWER));
			}
			else if (worker.losesStartResponses) {
				after(ONE_WAY_LATENCY_MILLIS, () -> worker.start(request));
				after(REQUEST_TIMEOUT_MILLIS, () -> response.complete(RunRequestOutcome.NO_ANSWER));
			}
			else {
				after(ONE_WAY_LATENCY_MILLIS, () -> {
					RunRequestOutcome outcome = worker.start(request);
					after(ONE_WAY_LATENCY_MILLIS, () -> response.complete(outcome));
				});
			}
			return response;
		}

		@Override
		public CompletableFuture<RunRequestOutcome> stop(WorkerInfo info, TaskKey task, int attempt,
				long fencingToken) {
			SimulatedWorker worker = findWorker(info);
			CompletableFuture<RunRequestOutcome> response = new CompletableFuture<>();
			if (isUnreachable(worker)) {
				after(REQUEST_TIMEOUT_MILLIS, () -> response.complete(RunRequestOutcome.NO_ANSWER));
				return response;
			}
			after(ONE_WAY_LATENCY_MILLIS, () -> {
				RunRequestOutcome outcome = worker.stop(task, attempt, fencingToken);
				after(ONE_WAY_LATENCY_MILLIS, () -> response.complete(outcome));
			});
			return response;
		}

		private void after(long millis, Runnable action) {
			SimulatedWorkers.this.time.schedule(action, millis, TimeUnit.MILLISECONDS);
		}

	}

}
