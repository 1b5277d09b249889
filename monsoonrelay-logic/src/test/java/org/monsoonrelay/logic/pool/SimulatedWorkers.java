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
 * Workers in memory on virtual time: leases on their own clocks, fences, ends that are
 * listed until acknowledged, and faults. They start whatever they are told to, and keep a
 * list of what must never happen: two runs of a task at once, more than the capacity, a
 * start after an acknowledged end. Not thread-safe.
 */
final class SimulatedWorkers {

	private static final long ONE_WAY_LATENCY_MILLIS = 1;

	private static final long REQUEST_TIMEOUT_MILLIS = 450;

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
		SimulatedWorker machine = new SimulatedWorker(
				new WorkerInfo(id, "salon", "10.0.0.1:1", "porto", capacity, List.of("a", "r1"), "r1", false, 0));
		this.workers.put(id, machine);
		return machine;
	}

	List<WorkerInfo> listedWorkers() {
		return this.workers.values()
			.stream()
			.filter((machine) -> machine.listed)
			.map((machine) -> machine.info)
			.toList();
	}

	/**
	 * A worker says that it is about to leave.
	 * @param id the worker
	 */
	void drain(String id) {
		SimulatedWorker machine = this.workers.get(id);
		WorkerInfo info = machine.info;
		machine.info = new WorkerInfo(info.id(), info.service(), info.address(), info.failureDomain(), info.capacity(),
				info.labels(), info.rack(), true, 2000);
	}

	String workerRunning(TaskKey task) {
		return this.workers.values()
			.stream()
			.filter((machine) -> machine.runningAttempts.containsKey(task))
			.map((machine) -> machine.info.id())
			.findFirst()
			.orElseThrow();
	}

	/**
	 * A worker stops for good and is listed no more.
	 * @param id the worker
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
	 * What runs.
	 * @return the tasks
	 */
	Set<TaskKey> runningTasks() {
		return this.runningTasks.keySet();
	}

	int runningTaskCount() {
		return this.runningTasks.size();
	}

	/**
	 * A process's way to the workers, which can be cut from some of them.
	 * @return the way
	 */
	Client client() {
		return new Client();
	}

	/** One worker. */
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

		void setLosesStartResponses(boolean loses) {
			this.losesStartResponses = loses;
		}

		void setStartDelayMillis(long millis) {
			this.startDelayMillis = millis;
		}

		int runningCount() {
			return this.runningAttempts.size();
		}

		private boolean rejectsFencingToken(long token) {
			if (token < this.highestFencingToken) {
				return true;
			}
			this.highestFencingToken = token;
			return false;
		}

		private void extendLease(long until) {
			this.leaseEndMillis = Math.max(this.leaseEndMillis, until);
			SimulatedWorkers.this.time.schedule(this::terminateIfLeaseExpired,
					Math.max(0, until - SimulatedWorkers.this.time.millis()) + 1, TimeUnit.MILLISECONDS);
		}

		private void terminateIfLeaseExpired() {
			if (SimulatedWorkers.this.time.millis() > this.leaseEndMillis) {
				List.copyOf(this.runningAttempts.keySet()).forEach((task) -> terminate(task, TerminationReason.LAPSED));
			}
		}

		private void terminate(TaskKey task, TerminationReason kind) {
			Integer attempt = this.runningAttempts.remove(task);
			if (attempt == null) {
				return;
			}
			SimulatedWorkers.this.runningTasks.remove(task);
			this.highestTerminatedAttempts.merge(task, attempt, Math::max);
			this.lastSequence++;
			this.terminatedTasks.add(new TerminatedTask(this.lastSequence, task, attempt, kind, ""));
		}

		private void startRun(TaskKey task, int attempt) {
			SimulatedWorkers workers = SimulatedWorkers.this;
			workers.startCounts.merge(task, 1, Integer::sum);
			if (workers.runningTasks.putIfAbsent(task, attempt) != null) {
				workers.violations.add("two runs of " + task);
			}
			if (workers.acknowledgedTasks.contains(task)) {
				workers.violations.add("a start after the acknowledged end of " + task);
			}
			this.runningAttempts.put(task, attempt);
			if (!this.info.capacity().covers(workers.taskSize.times(this.runningAttempts.size()))) {
				workers.violations.add("over the capacity of " + this.info.id());
			}
			TerminationReason kind = this.failing ? TerminationReason.FAILED : TerminationReason.DONE;
			workers.time.schedule(() -> terminateAttempt(task, attempt, kind), workers.runMillis.applyAsLong(task),
					TimeUnit.MILLISECONDS);
		}

		private void terminateAttempt(TaskKey task, int attempt, TerminationReason kind) {
			if (Integer.valueOf(attempt).equals(this.runningAttempts.get(task))) {
				terminate(task, kind);
			}
		}

		private RunRequestOutcome start(RunStartRequest order) {
			long now = SimulatedWorkers.this.time.millis();
			if (rejectsFencingToken(order.fencingToken())) {
				return new RunRequestOutcome(Kind.FENCED, now);
			}
			if (order.leaseEndMillis() < now) {
				return new RunRequestOutcome(Kind.TOO_LATE, now);
			}
			extendLease(order.leaseEndMillis());
			if (Integer.valueOf(order.attempt()).equals(this.runningAttempts.get(order.task()))) {
				return new RunRequestOutcome(Kind.DONE, now);
			}
			if (this.highestTerminatedAttempts.getOrDefault(order.task(), 0) >= order.attempt()) {
				return new RunRequestOutcome(Kind.OLD_ATTEMPT, now);
			}
			startRun(order.task(), order.attempt());
			return new RunRequestOutcome(Kind.DONE, now);
		}

		private RunRequestOutcome stop(TaskKey task, int attempt, long token) {
			long now = SimulatedWorkers.this.time.millis();
			if (rejectsFencingToken(token)) {
				return new RunRequestOutcome(Kind.FENCED, now);
			}
			this.highestTerminatedAttempts.merge(task, attempt, Math::max);
			if (Integer.valueOf(attempt).equals(this.runningAttempts.get(task))) {
				terminate(task, TerminationReason.STOPPED);
			}
			return new RunRequestOutcome(Kind.DONE, now);
		}

		private PollOutcome poll(PollRequest order) {
			if (rejectsFencingToken(order.fencingToken())) {
				return new PollOutcome.Fenced();
			}
			order.leaseEndMillis().ifPresent(this::extendLease);
			for (TerminatedTask end : List.copyOf(this.terminatedTasks)) {
				if (end.sequence() <= order.acknowledgedSequence()) {
					this.terminatedTasks.remove(end);
					if (end.reason() == TerminationReason.DONE) {
						SimulatedWorkers.this.acknowledgedTasks.add(end.task());
					}
				}
			}
			List<RunningTask> now = new ArrayList<>();
			this.runningAttempts.forEach((task, attempt) -> now.add(new RunningTask(task, attempt, "", 100, 0)));
			return new PollOutcome.Report(SimulatedWorkers.this.time.millis(), now, this.terminatedTasks);
		}

	}

	/** One process's way to the workers. */
	final class Client implements WorkerClient {

		private final Set<String> disconnectedWorkers = new HashSet<>();

		void disconnect(String worker) {
			this.disconnectedWorkers.add(worker);
		}

		void reconnect(String worker) {
			this.disconnectedWorkers.remove(worker);
		}

		private boolean isUnreachable(SimulatedWorker machine) {
			return machine.crashed || this.disconnectedWorkers.contains(machine.info.id());
		}

		private SimulatedWorker findWorker(WorkerInfo worker) {
			return SimulatedWorkers.this.workers.get(worker.id());
		}

		@Override
		public CompletableFuture<PollOutcome> poll(WorkerInfo worker, PollRequest order) {
			CompletableFuture<PollOutcome> answer = new CompletableFuture<>();
			SimulatedWorker machine = findWorker(worker);
			if (isUnreachable(machine)) {
				after(REQUEST_TIMEOUT_MILLIS, () -> answer.complete(new PollOutcome.NoAnswer("no answer")));
				return answer;
			}
			after(ONE_WAY_LATENCY_MILLIS, () -> {
				PollOutcome first = machine.poll(order);
				boolean waits = first instanceof PollOutcome.Report seen && seen.terminatedTasks().isEmpty()
						&& !order.maxWait().isZero();
				after(waits ? 40 : ONE_WAY_LATENCY_MILLIS, () -> answer
					.complete(isUnreachable(machine) ? new PollOutcome.NoAnswer("cut") : machine.poll(order)));
			});
			return answer;
		}

		@Override
		public CompletableFuture<RunRequestOutcome> start(WorkerInfo worker, RunStartRequest order) {
			SimulatedWorker machine = findWorker(worker);
			CompletableFuture<RunRequestOutcome> answer = new CompletableFuture<>();
			if (isUnreachable(machine)) {
				after(REQUEST_TIMEOUT_MILLIS, () -> answer.complete(RunRequestOutcome.NO_ANSWER));
			}
			else if (machine.startDelayMillis > 0) {
				after(machine.startDelayMillis, () -> machine.start(order));
				after(REQUEST_TIMEOUT_MILLIS, () -> answer.complete(RunRequestOutcome.NO_ANSWER));
			}
			else if (machine.losesStartResponses) {
				after(ONE_WAY_LATENCY_MILLIS, () -> machine.start(order));
				after(REQUEST_TIMEOUT_MILLIS, () -> answer.complete(RunRequestOutcome.NO_ANSWER));
			}
			else {
				after(ONE_WAY_LATENCY_MILLIS, () -> {
					RunRequestOutcome outcome = machine.start(order);
					after(ONE_WAY_LATENCY_MILLIS, () -> answer.complete(outcome));
				});
			}
			return answer;
		}

		@Override
		public CompletableFuture<RunRequestOutcome> stop(WorkerInfo worker, TaskKey task, int attempt, long fence) {
			SimulatedWorker machine = findWorker(worker);
			CompletableFuture<RunRequestOutcome> answer = new CompletableFuture<>();
			if (isUnreachable(machine)) {
				after(REQUEST_TIMEOUT_MILLIS, () -> answer.complete(RunRequestOutcome.NO_ANSWER));
				return answer;
			}
			after(ONE_WAY_LATENCY_MILLIS, () -> {
				RunRequestOutcome outcome = machine.stop(task, attempt, fence);
				after(ONE_WAY_LATENCY_MILLIS, () -> answer.complete(outcome));
			});
			return answer;
		}

		private void after(long millis, Runnable action) {
			SimulatedWorkers.this.time.schedule(action, millis, TimeUnit.MILLISECONDS);
		}

	}

}
