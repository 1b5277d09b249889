package org.monsoonrelay.standin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.monsoonrelay.model.job.AttemptId;

/**
 * Counts at the workers what ran: starts, ends, and tasks that ran in two places at once.
 * Thread-safe; shared by the workers of one process.
 */
final class TaskLog {

	private final Map<String, Set<AttemptId>> running = new HashMap<>();

	private final Map<String, Integer> finishedByTask = new TreeMap<>();

	private int started;

	private int finished;

	private final Map<String, Integer> overlappingByJob = new TreeMap<>();

	private int overCommitted;

	synchronized void started(AttemptId attempt) {
		this.started++;
		Set<AttemptId> present = this.running.computeIfAbsent(task(attempt), (task) -> new HashSet<>());
		present.add(attempt);
		if (present.size() > 1) {
			this.overlappingByJob.merge(attempt.job().toString(), 1, Integer::sum);
		}
	}

	synchronized void ended(AttemptId attempt, boolean well) {
		Set<AttemptId> present = this.running.get(task(attempt));
		if (present == null || !present.remove(attempt)) {
			return;
		}
		if (well) {
			this.finished++;
			this.finishedByTask.merge(task(attempt), 1, Integer::sum);
		}
	}

	synchronized void overCommitted() {
		this.overCommitted++;
	}

	private static String task(AttemptId attempt) {
		return attempt.job().toString() + '/' + attempt.task();
	}

	synchronized TaskCounts counters() {
		int runningNow = this.running.values().stream().mapToInt(Set::size).sum();
		int twice = (int) this.finishedByTask.values().stream().filter((count) -> count > 1).count();
		Map<String, Integer> finishedByJob = new TreeMap<>();
		this.finishedByTask
			.forEach((task, count) -> finishedByJob.merge(task.substring(0, task.lastIndexOf('/')), 1, Integer::sum));
		int overlapping = this.overlappingByJob.values().stream().mapToInt(Integer::intValue).sum();
		return new TaskCounts(this.started, this.finished, runningNow, overlapping, twice, this.overCommitted,
				finishedByJob, new TreeMap<>(this.overlappingByJob));
	}

}
