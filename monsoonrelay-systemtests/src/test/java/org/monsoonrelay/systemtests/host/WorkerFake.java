package org.monsoonrelay.systemtests.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One incarnation of a worker whose tasks are done after a while that their names and the
 * texts of their jobs tell, those of a gang together. Its clock and the numbers of its
 * ends begin with it. Invariants: orders of an older fence than one seen are refused; of
 * a task only attempts higher than those seen are run; nothing runs without a lease.
 * Thread-safe.
 */
final class WorkerFake {

	private static final int OK = 200;

	private static final int REFUSED = 409;

	/** The step of a soak's job that is a gang. */
	static final String GANG_STEP = ".0.1.";

	private final String name;

	private final ScheduledExecutorService timer;

	private final GangFake gangs;

	private final TaskRuns runs;

	private final ReportForm reports;

	private final LeaseFake lease = new LeaseFake();

	private final Map<String, Integer> running = new HashMap<>();

	private final Map<String, Integer> attempts = new HashMap<>();

	private final List<WorkerEnd> ended = new ArrayList<>();

	private final List<String> done = new ArrayList<>();

	private final List<String> uncertain = new ArrayList<>();

	private final Set<String> begun = new HashSet<>();

	private final long startedMillis = System.currentTimeMillis();

	private long fence;

	private long forgotten;

	private boolean watchingLease;

	private boolean crashed;

	WorkerFake(String name, ScheduledExecutorService timer, GangFake gangs, TaskRuns runs, ReportForm reports) {
		this.name = name + '@' + System.identityHashCode(this);
		this.timer = timer;
		this.gangs = gangs;
		this.runs = runs;
		this.reports = reports;
	}

	synchronized Answer start(JsonNode order) {
		String task = order.path("task").asText();
		int attempt = order.path("attempt").asInt();
		if (isFenced(order)) {
			return refused("fence");
		}
		if (order.path("deadline_ms").asLong() <= this.lease.clockMillis()) {
			return refused("late");
		}
		extendLease(order);
		if (this.running.getOrDefault(task, -1) == attempt) {
			return taken();
		}
		if (attempt <= this.attempts.getOrDefault(task, 0)) {
			return refused("old");
		}
		this.attempts.put(task, attempt);
		this.running.put(task, attempt);
		this.begun.add(task);
		this.runs.started(task, attempt, this.name, this.fence, this.lease::holds);
		WorkTime workTime = WorkTime.of(order);
		if (task.contains(GANG_STEP)) {
			this.gangs.join(task, attempt, SoakClient.GANG_TASKS, workTime.ofGang(), (how) -> end(task, attempt, how));
		}
		else {
			this.timer.schedule(() -> end(task, attempt, workTime.how()), workTime.ofTask(task), TimeUnit.MILLISECONDS);
		}
		return taken();
	}

	synchronized Answer stop(JsonNode order) {
		if (isFenced(order)) {
			return refused("fence");
		}
		String task = order.path("task").asText();
		int attempt = order.path("attempt").asInt();
		this.attempts.merge(task, attempt, Math::max);
		end(task, attempt, "stopped");
		breakGang(task, attempt);
		return taken();
	}

	private synchronized void end(String task, int attempt, String how) {
		expire();
		if (!this.running.remove(task, attempt)) {
			return;
		}
		record(task, attempt, how);
	}

	private void record(String task, int attempt, String how) {
		this.runs.ended(task, attempt, this.name, how);
		if (how.equals("done")) {
			this.done.add(task);
		}
		this.ended.add(new WorkerEnd(this.forgotten + this.ended.size() + 1, task, attempt, how, System.nanoTime()));
		notifyAll();
	}

	private void extendLease(JsonNode order) {
		expire();
		this.lease.extend(order.path("deadline_ms").asLong());
		watchLease();
	}

	private void watchLease() {
		if (!this.watchingLease && this.lease.holds()) {
			this.watchingLease = true;
			this.timer.schedule(this::checkLease, this.lease.remainingMillis() + 1, TimeUnit.MILLISECONDS);
		}
	}

	private synchronized void checkLease() {
		expire();
		this.watchingLease = false;
		watchLease();
	}

	private void expire() {
		if (this.crashed || this.lease.holds()) {
			return;
		}
		this.runs.lapsed(this.name);
		Map<String, Integer> lost = Map.copyOf(this.running);
		this.running.clear();
		lost.forEach((task, attempt) -> {
			record(task, attempt, "lapsed");
			breakGang(task, attempt);
		});
	}

	private void breakGang(String task, int attempt) {
		if (task.contains(GANG_STEP)) {
			this.gangs.stopped(task, attempt);
		}
	}

	synchronized Answer look(JsonNode order) throws InterruptedException {
		if (isFenced(order)) {
			return refused("fence");
		}
		extendLease(order);
		long acknowledged = order.path("ack_cursor").asLong();
		while (this.forgotten < acknowledged && !this.ended.isEmpty()) {
			WorkerEnd end = this.ended.remove(0);
			this.runs.acknowledged(end.task(), end.attempt(), this.name);
			this.forgotten++;
		}
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(order.path("wait_ms").asLong());
		while (this.ended.isEmpty() && System.nanoTime() - end < 0) {
			TimeUnit.NANOSECONDS.timedWait(this, Math.max(1_000_000, end - System.nanoTime()));
		}
		ReportForm.Lists lists = this.reports.lists(this.running, this.ended);
		List<List<Object>> lives = new ArrayList<>();
		lists.running().forEach((task, attempt) -> lives.add(List.of(task, attempt, "", 100)));
		return new Answer(OK, Map.of("born", this.startedMillis, "clock_ms", this.lease.clockMillis(), "running", lives,
				"finished", lists.ended().stream().map(WorkerEnd::toList).toList()));
	}

	long startedMillis() {
		return this.startedMillis;
	}

	/**
	 * Crash: nothing runs any more, and ends that were not acknowledged are lost.
	 */
	synchronized void crash() {
		this.crashed = true;
		this.runs.lapsed(this.name);
		Map<String, Integer> lost = Map.copyOf(this.running);
		this.running.clear();
		lost.forEach((task, attempt) -> {
			this.runs.ended(task, attempt, this.name, "crashed");
			breakGang(task, attempt);
		});
		for (WorkerEnd end : this.ended) {
			if (end.how().equals("done")) {
				this.done.remove(end.task());
				this.uncertain.add(end.task());
			}
		}
		this.ended.clear();
		notifyAll();
	}

	private boolean isFenced(JsonNode order) {
		long told = order.path("fencing_token").asLong();
		this.fence = Math.max(this.fence, told);
		return told < this.fence;
	}

	private Answer taken() {
		return new Answer(OK, Map.of("clock_ms", this.lease.clockMillis()));
	}

	private Answer refused(String reason) {
		return new Answer(REFUSED, Map.of("clock_ms", this.lease.clockMillis(), "reason", reason));
	}

	/**
	 * Tasks that were done here.
	 * @return their names, one for each time
	 */
	synchronized List<String> done() {
		return List.copyOf(this.done);
	}

	/**
	 * Tasks that were done here before a crash, without an acknowledgement of their end.
	 * @return their names, one for each time
	 */
	synchronized List<String> uncertain() {
		return List.copyOf(this.uncertain);
	}

	/**
	 * Tasks that were begun here.
	 * @return their names
	 */
	synchronized Set<String> begun() {
		return Set.copyOf(this.begun);
	}

}
