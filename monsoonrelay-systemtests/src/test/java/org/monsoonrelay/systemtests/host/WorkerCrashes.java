package org.monsoonrelay.systemtests.host;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Jobs whose tasks crash each worker that starts them. A crashed worker does not answer
 * for a while; then it is back, under its id or another one. Invariant: a task that is
 * started three times more after three workers crashed under it is a violation.
 * Thread-safe.
 */
final class WorkerCrashes {

	private static final int OK = 200;

	private static final int LIMIT = 3;

	private static final long TIME_TO_CRASH_MILLIS = 10;

	private static final long RESTART_MILLIS = 800;

	private final Map<String, WorkerFake> workers;

	private final ScheduledExecutorService timer;

	private final Map<String, Runnable> restarts = new ConcurrentHashMap<>();

	private final Set<String> replaced = ConcurrentHashMap.newKeySet();

	private final Set<String> crashingJobs = ConcurrentHashMap.newKeySet();

	private final List<WorkerFake> crashed = Collections.synchronizedList(new ArrayList<>());

	private final Set<String> seenStarts = new HashSet<>();

	private final Map<String, Integer> crashesByTask = new HashMap<>();

	private final Map<String, Integer> laterStarts = new HashMap<>();

	WorkerCrashes(Map<String, WorkerFake> workers, ScheduledExecutorService timer) {
		this.workers = workers;
		this.timer = timer;
	}

	/**
	 * Set what brings a worker back.
	 * @param worker the worker's id
	 * @param restart adds its next incarnation
	 */
	void onRestart(String worker, Runnable restart) {
		this.restarts.put(worker, restart);
	}

	/**
	 * Make the tasks of a job crash their workers.
	 * @param job the job's id
	 */
	void addCrashingJob(String job) {
		this.crashingJobs.add(job);
	}

	/**
	 * Record that a worker is back under another id.
	 * @param worker the former id
	 */
	void markReplaced(String worker) {
		this.replaced.add(worker);
	}

	boolean isReplaced(String worker) {
		return this.replaced.contains(worker);
	}

	/**
	 * Workers that have crashed.
	 * @return the workers
	 */
	List<WorkerFake> crashed() {
		return List.copyOf(this.crashed);
	}

	/**
	 * Crash the worker if it has started a task of a crashing job.
	 * @param worker the worker's id
	 * @param path the path of the request
	 * @param order the request
	 * @param code the answer's code
	 */
	synchronized void answered(String worker, String path, JsonNode order, int code) {
		String task = order.path("task").asText();
		boolean isStart = path.equals("/api/run-start") && code == OK;
		if (!isStart || !this.crashingJobs.contains(task.split("\\.")[0])
				|| !this.seenStarts.add(worker + ' ' + System.identityHashCode(this.workers.get(worker)) + ' ' + task
						+ ' ' + order.path("attempt").asInt())) {
			return;
		}
		if (this.crashesByTask.getOrDefault(task, 0) >= LIMIT) {
			this.laterStarts.merge(task, 1, Integer::sum);
		}
		this.timer.schedule(() -> crash(worker, task), TIME_TO_CRASH_MILLIS, TimeUnit.MILLISECONDS);
	}

	private synchronized void crash(String id, String task) {
		WorkerFake worker = this.workers.remove(id);
		if (worker == null) {
			return;
		}
		this.crashesByTask.merge(task, 1, Integer::sum);
		worker.crash();
		this.crashed.add(worker);
		this.timer.schedule(this.restarts.get(id), RESTART_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Violations so far.
	 * @return a line for each task that was started too often
	 */
	synchronized List<String> violations() {
		return this.laterStarts.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() >= LIMIT)
			.map((entry) -> entry.getKey() + " was started " + entry.getValue() + " times more after " + LIMIT
					+ " workers had crashed under it")
			.toList();
	}

	/**
	 * Tasks that were done without an acknowledgement before their worker crashed.
	 * @return their names
	 */
	Set<String> uncertain() {
		Set<String> tasks = new HashSet<>();
		crashed().forEach((worker) -> tasks.addAll(worker.uncertain()));
		return tasks;
	}

}
