package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * Tasks that crash each worker that starts them, shortly after the start. Records a
 * violation when such a task is started three times more after three workers have crashed
 * under it. Not thread-safe.
 */
final class CrashingTasks {

	private static final int LIMIT = 3;

	private static final long TIME_TO_CRASH_MILLIS = 10;

	/**
	 * Less than a lease, so that the new incarnation answers before the lease expires.
	 */
	static final long RESTART_MILLIS = 3000;

	private final SimulatedCell cell;

	private final Map<TaskKey, Integer> crashes = new HashMap<>();

	private final Map<TaskKey, Integer> laterStarts = new HashMap<>();

	private final List<String> violations = new ArrayList<>();

	private long timeToCrashMillis = TIME_TO_CRASH_MILLIS;

	private long restartMillis = RESTART_MILLIS;

	/**
	 * Makes tasks crash their workers.
	 * @param cell the cell
	 * @param isCrashing determines the tasks
	 */
	CrashingTasks(SimulatedCell cell, Predicate<TaskKey> isCrashing) {
		this.cell = cell;
		cell.workers.onStart((worker, task) -> {
			if (isCrashing.test(task)) {
				started(worker, task);
			}
		});
	}

	CrashingTasks withRestartMillis(long millis) {
		this.restartMillis = millis;
		return this;
	}

	CrashingTasks afterMillis(long millis) {
		this.timeToCrashMillis = millis;
		return this;
	}

	private void started(SimulatedWorkers.SimulatedWorker worker, TaskKey task) {
		if (crashCount(task) >= LIMIT && this.laterStarts.merge(task, 1, Integer::sum) == LIMIT) {
			this.violations.add(task + " was started three times more after three workers had crashed under it");
		}
		this.cell.time.schedule(() -> {
			if (worker.isRunning(task)) {
				this.crashes.merge(task, 1, Integer::sum);
				this.cell.workers.crashAndRestart(worker, this.restartMillis);
			}
		}, this.timeToCrashMillis, TimeUnit.MILLISECONDS);
	}

	int crashCount(TaskKey task) {
		return this.crashes.getOrDefault(task, 0);
	}

	int totalCrashes() {
		return this.crashes.values().stream().mapToInt(Integer::intValue).sum();
	}

	List<String> violations() {
		return this.violations;
	}

}
