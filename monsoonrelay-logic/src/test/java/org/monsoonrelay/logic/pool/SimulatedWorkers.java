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

import org.monsoonrelay.logic.pool.StartOutcome.Kind;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Workers in memory on virtual time: leases on their own clocks, fences, ends that are
 * listed until acknowledged, and faults. They start whatever they are told to, and keep a
 * list of what must never happen: two runs of a task at once, more than the capacity, a
 * start after an acknowledged end. Not thread-safe.
 */
final class SimulatedWorkers {

	private static final long WAY_MILLIS = 1;

	private static final long NO_ANSWER_MILLIS = 450;

	private final VirtualTime time;

	private final Map<String, Machine> machines = new LinkedHashMap<>();

	private final ToLongFunction<TaskKey> runMillis;

	private final Map<TaskKey, Integer> alive = new HashMap<>();

	private final Set<TaskKey> acknowledged = new HashSet<>();

	private final Map<TaskKey, Integer> starts = new HashMap<>();

	private final List<String> faults = new ArrayList<>();

	private Resources taskSize = Resources.NONE;

	SimulatedWorkers(VirtualTime time, ToLongFunction<TaskKey> runMillis) {
		this.time = time;
		this.runMillis = runMillis;
	}

	SimulatedWorkers taskSize(Resources size) {
		this.taskSize = size;
		return this;
	}

	Machine add(String id, Resources capacity) {
		Machine machine = new Machine(
				new WorkerInfo(id, "salon", "10.0.0.1:1", "porto", capacity, List.of("a", "r1"), "r1", false, 0));
		this.machines.put(id, machine);
		return machine;
	}

	List<WorkerInfo> list() {
		return this.machines.values()
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
		Machine machine = this.machines.get(id);
		WorkerInfo info = machine.info;
		machine.info = new WorkerInfo(info.id(), info.service(), info.address(), info.failureDomain(), info.capacity(),
				info.labels(), info.rack(), true, 2000);
	}

	String holderOf(TaskKey task) {
		return this.machines.values()
			.stream()
			.filter((machine) -> machine.running.containsKey(task))
			.map((machine) -> machine.info.id())
			.findFirst()
			.orElseThrow();
	}

	/**
	 * A worker stops for good and is listed no more.
	 * @param id the worker
	 */
	void crash(String id) {
		this.machines.get(id).crash();
		this.machines.get(id).unlist();
	}

	List<String> faults() {
		return this.faults;
	}

	int startsOf(TaskKey task) {
		return this.starts.getOrDefault(task, 0);
	}

	/**
	 * What runs.
	 * @return the tasks
	 */
	Set<TaskKey> alive() {
		return this.alive.keySet();
	}

	int aliveCount() {
		return this.alive.size();
	}

	/**
	 * A process's way to the workers, which can be cut from some of them.
	 * @return the way
	 */
	Client client() {
		return new Client();
	}

	/** One worker. */
	final class Machine {

		private final Map<TaskKey, Integer> running = new LinkedHashMap<>();

		private final Map<TaskKey, Integer> highestEnded = new HashMap<>();

		private final List<EndedTask> ended = new ArrayList<>();

		private WorkerInfo info;

		private long fence;

		private long ends;

		private long leaseMillis;

		private boolean listed = true;

		private boolean crashed;

		private boolean fails;

		private boolean losesStartAnswers;

		private long startsLateMillis;

		Machine(WorkerInfo info) {
			this.info = info;
		}

		void unlist() {
			this.listed = false;
		}

		void crash() {
			this.crashed = true;
			this.running.keySet().forEach((task) -> SimulatedWorkers.this.alive.remove(task));
			this.running.clear();
		}

		void fails(boolean isFailing) {
			this.fails = isFailing;
		}

		void losesStartAnswers(boolean loses) {
			this.losesStartAnswers = loses;
		}

		void startsLate(long millis) {
			this.startsLateMillis = millis;
		}

		int runningCount() {
			return this.running.size();
		}

		private boolean isFenced(long token) {
			if (token < this.fence) {
				return true;
			}
			this.fence = token;
			return false;
		}

		private void lease(long until) {
			this.leaseMillis = Math.max(this.leaseMillis, until);
			SimulatedWorkers.this.time.schedule(this::lapse,
					Math.max(0, until - SimulatedWorkers.this.time.millis()) + 1, TimeUnit.MILLISECONDS);
		}

		private void lapse() {
			if (SimulatedWorkers.this.time.millis() > this.leaseMillis) {
				List.copyOf(this.running.keySet()).forEach((task) -> end(task, EndKind.LAPSED));
			}
		}

		private void end(TaskKey task, EndKind kind) {
			Integer attempt = this.running.remove(task);
			if (attempt == null) {
				return;
			}
			SimulatedWorkers.this.alive.remove(task);
			this.highestEnded.merge(task, attempt, Math::max);
			this.ends++;
			this.ended.add(new EndedTask(this.ends, task, attempt, kind, ""));
		}

		private void begin(TaskKey task, int attempt) {
			SimulatedWorkers workers = SimulatedWorkers.this;
			workers.starts.merge(task, 1, Integer::sum);
			if (workers.alive.putIfAbsent(task, attempt) != null) {
				workers.faults.add("two runs of " + task);
			}
			if (workers.acknowledged.contains(task)) {
				workers.faults.add("a start after the acknowledged end of " + task);
			}
			this.running.put(task, attempt);
			if (!this.info.capacity().covers(workers.taskSize.times(this.running.size()))) {
				workers.faults.add("over the capacity of " + this.info.id());
			}
			EndKind kind = this.fails ? EndKind.FAILED : EndKind.DONE;
			workers.time.schedule(() -> endOf(task, attempt, kind), workers.runMillis.applyAsLong(task),
					TimeUnit.MILLISECONDS);
		}

		private void endOf(TaskKey task, int attempt, EndKind kind) {
			if (Integer.valueOf(attempt).equals(this.running.get(task))) {
				end(task, kind);
			}
		}

		private StartOutcome start(StartOrder order) {
			long now = SimulatedWorkers.this.time.millis();
			if (isFenced(order.fence())) {
				return new StartOutcome(Kind.FENCED, now);
			}
			if (order.leaseMillis() < now) {
				return new StartOutcome(Kind.TOO_LATE, now);
			}
			lease(order.leaseMillis());
			if (Integer.valueOf(order.attempt()).equals(this.running.get(order.task()))) {
				return new StartOutcome(Kind.DONE, now);
			}
			if (this.highestEnded.getOrDefault(order.task(), 0) >= order.attempt()) {
				return new StartOutcome(Kind.OLD_ATTEMPT, now);
			}
			begin(order.task(), order.attempt());
			return new StartOutcome(Kind.DONE, now);
		}

		private StartOutcome stop(TaskKey task, int attempt, long token) {
			long now = SimulatedWorkers.this.time.millis();
			if (isFenced(token)) {
				return new StartOutcome(Kind.FENCED, now);
			}
			this.highestEnded.merge(task, attempt, Math::max);
			if (Integer.valueOf(attempt).equals(this.running.get(task))) {
				end(task, EndKind.STOPPED);
			}
			return new StartOutcome(Kind.DONE, now);
		}

		private LookOutcome look(LookOrder order) {
			if (isFenced(order.fence())) {
				return new LookOutcome.Fenced();
			}
			order.leaseMillis().ifPresent(this::lease);
			for (EndedTask end : List.copyOf(this.ended)) {
				if (end.number() <= order.acknowledged()) {
					this.ended.remove(end);
					if (end.kind() == EndKind.DONE) {
						SimulatedWorkers.this.acknowledged.add(end.task());
					}
				}
			}
			List<RunningTask> now = new ArrayList<>();
			this.running.forEach((task, attempt) -> now.add(new RunningTask(task, attempt, "", 100, 0)));
			return new LookOutcome.Seen(SimulatedWorkers.this.time.millis(), now, this.ended);
		}

	}

	/** One process's way to the workers. */
	final class Client implements WorkerOrders {

		private final Set<String> cut = new HashSet<>();

		void cut(String worker) {
			this.cut.add(worker);
		}

		void join(String worker) {
			this.cut.remove(worker);
		}

		private boolean isAway(Machine machine) {
			return machine.crashed || this.cut.contains(machine.info.id());
		}

		private Machine machine(WorkerInfo worker) {
			return SimulatedWorkers.this.machines.get(worker.id());
		}

		@Override
		public CompletableFuture<LookOutcome> look(WorkerInfo worker, LookOrder order) {
			CompletableFuture<LookOutcome> answer = new CompletableFuture<>();
			Machine machine = machine(worker);
			if (isAway(machine)) {
				after(NO_ANSWER_MILLIS, () -> answer.complete(new LookOutcome.NoAnswer("no answer")));
				return answer;
			}
			after(WAY_MILLIS, () -> {
				LookOutcome first = machine.look(order);
				boolean waits = first instanceof LookOutcome.Seen seen && seen.ended().isEmpty()
						&& !order.patience().isZero();
				after(waits ? 40 : WAY_MILLIS,
						() -> answer.complete(isAway(machine) ? new LookOutcome.NoAnswer("cut") : machine.look(order)));
			});
			return answer;
		}

		@Override
		public CompletableFuture<StartOutcome> start(WorkerInfo worker, StartOrder order) {
			Machine machine = machine(worker);
			CompletableFuture<StartOutcome> answer = new CompletableFuture<>();
			if (isAway(machine)) {
				after(NO_ANSWER_MILLIS, () -> answer.complete(StartOutcome.NO_ANSWER));
			}
			else if (machine.startsLateMillis > 0) {
				after(machine.startsLateMillis, () -> machine.start(order));
				after(NO_ANSWER_MILLIS, () -> answer.complete(StartOutcome.NO_ANSWER));
			}
			else if (machine.losesStartAnswers) {
				after(WAY_MILLIS, () -> machine.start(order));
				after(NO_ANSWER_MILLIS, () -> answer.complete(StartOutcome.NO_ANSWER));
			}
			else {
				after(WAY_MILLIS, () -> {
					StartOutcome outcome = machine.start(order);
					after(WAY_MILLIS, () -> answer.complete(outcome));
				});
			}
			return answer;
		}

		@Override
		public CompletableFuture<StartOutcome> stop(WorkerInfo worker, TaskKey task, int attempt, long fence) {
			Machine machine = machine(worker);
			CompletableFuture<StartOutcome> answer = new CompletableFuture<>();
			if (isAway(machine)) {
				after(NO_ANSWER_MILLIS, () -> answer.complete(StartOutcome.NO_ANSWER));
				return answer;
			}
			after(WAY_MILLIS, () -> {
				StartOutcome outcome = machine.stop(task, attempt, fence);
				after(WAY_MILLIS, () -> answer.complete(outcome));
			});
			return answer;
		}

		private void after(long millis, Runnable action) {
			SimulatedWorkers.this.time.schedule(action, millis, TimeUnit.MILLISECONDS);
		}

	}

}
