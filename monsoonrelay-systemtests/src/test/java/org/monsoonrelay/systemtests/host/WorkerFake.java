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
 * One incarnation of a worker whose tasks are done after a while that their names tell,
 * those of a gang together. Its clock and the numbers of its ends begin with it.
 * Invariants: orders of an older fence than one seen are refused; of a task only attempts
 * higher than those seen are run. Thread-safe.
 */
final class WorkerFake {

	private static final int SHORTEST_MILLIS = 40;

	private static final int LONGER_MILLIS = 400;

	private static final int OK = 200;

	private static final int TERMINATION_REASON = 3;

	private static final int REFUSED = 409;

	/** The step of a soak's job that is a gang. */
	static final String GANG_STEP = ".0.1.";

	private final ScheduledExecutorService timer;

	private final GangFake gangs;

	private final Map<String, Integer> running = new HashMap<>();

	private final Map<String, Integer> attempts = new HashMap<>();

	private final List<List<Object>> ended = new ArrayList<>();

	private final List<String> done = new ArrayList<>();

	private final List<String> uncertain = new ArrayList<>();

	private final Set<String> begun = new HashSet<>();

	private final long startedMillis = System.currentTimeMillis();

	private final long startedNanos = System.nanoTime();

	private long fence;

	private long forgotten;

	WorkerFake(ScheduledExecutorService timer, GangFake gangs) {
		this.timer = timer;
		this.gangs = gangs;
	}

	synchronized Answer start(JsonNode order) {
		String task = order.path("task").asText();
		int attempt = order.path("attempt").asInt();
		if (isFenced(order)) {
			return refused("fence");
		}
		if (this.running.getOrDefault(task, -1) == attempt) {
			return taken();
		}
		if (attempt <= this.attempts.getOrDefault(task, 0)) {
			return refused("old");
		}
		this.attempts.put(task, attempt);
		this.running.put(task, attempt);
		this.begun.add(task);
		if (task.contains(GANG_STEP)) {
			this.gangs.join(task, attempt, SoakClient.GANG_TASKS, (how) -> end(task, attempt, how));
		}
		else {
			long millis = SHORTEST_MILLIS + Math.floorMod(task.hashCode(), LONGER_MILLIS);
			this.timer.schedule(() -> end(task, attempt, "done"), millis, TimeUnit.MILLISECONDS);
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
		if (task.contains(GANG_STEP)) {
			this.gangs.stopped(task, attempt);
		}
		return taken();
	}

	private synchronized void end(String task, int attempt, String how) {
		if (!this.running.remove(task, attempt)) {
			return;
		}
		if (how.equals("done")) {
			this.done.add(task);
		}
		this.ended.add(List.of(this.forgotten + this.ended.size() + 1, task, attempt, how, ""));
		notifyAll();
	}

	synchronized Answer look(JsonNode order) throws InterruptedException {
		if (isFenced(order)) {
			return refused("fence");
		}
		long acknowledged = order.path("ack_cursor").asLong();
		while (this.forgotten < acknowledged && !this.ended.isEmpty()) {
			this.ended.remove(0);
			this.forgotten++;
		}
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(order.path("wait_ms").asLong());
		while (this.ended.isEmpty() && System.nanoTime() - end < 0) {
			TimeUnit.NANOSECONDS.timedWait(this, Math.max(1_000_000, end - System.nanoTime()));
		}
		List<List<Object>> lives = new ArrayList<>();
		this.running.forEach((task, attempt) -> lives.add(List.of(task, attempt, "", 100)));
		return new Answer(OK, Map.of("born", this.startedMillis, "clock_ms", clock(), "running", lives, "finished",
				List.copyOf(this.ended)));
	}

	long startedMillis() {
		return this.startedMillis;
	}

	/**
	 * Crash: nothing runs any more, and ends that were not acknowledged are lost.
	 */
	synchronized void crash() {
		Map<String, Integer> lost = Map.copyOf(this.running);
		this.running.clear();
		lost.forEach((task, attempt) -> {
			if (task.contains(GANG_STEP)) {
				this.gangs.stopped(task, attempt);
			}
		});
		for (List<Object> end : this.ended) {
			String task = (String) end.get(1);
			if (end.get(TERMINATION_REASON).equals("done")) {
				this.done.remove(task);
				this.uncertain.add(task);
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
		return new Answer(OK, Map.of("clock_ms", clock()));
	}

	private Answer refused(String reason) {
		return new Answer(REFUSED, Map.of("clock_ms", clock(), "reason", reason));
	}

	private long clock() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos);
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
