package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToIntFunction;

import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Samples which long-running tasks run, and finds those that wait beside free capacity
 * for longer than users allow. Not thread-safe.
 */
final class LongRunningTaskWatch {

	/** Users expect nothing for this time after a disturbance, milliseconds. */
	private static final long CONTACT_MILLIS = 3000;

	/** Time without a run beside free capacity that is a fault, milliseconds. */
	private static final long WAIT_MILLIS = 3000;

	/** Users count a wait only if this time before it was calm, too, milliseconds. */
	private static final long CALM_BEFORE_MILLIS = 4000;

	/** Users count no wait in this time after the last run, milliseconds. */
	private static final long RESTART_MILLIS = 6000;

	private final SimulatedCell cell;

	private final ToIntFunction<StepKey> freeSlots;

	private final Map<TaskKey, Wait> waits = new TreeMap<>((one, other) -> one.toString().compareTo(other.toString()));

	private final List<Wait> ended = new ArrayList<>();

	private long disturbedUntilMillis;

	LongRunningTaskWatch(SimulatedCell cell, ToIntFunction<StepKey> freeSlots) {
		this.cell = cell;
		this.freeSlots = freeSlots;
	}

	/**
	 * Records a disturbance.
	 * @param endMillis when it ends
	 */
	void disturbedUntil(long endMillis) {
		this.disturbedUntilMillis = Math.max(this.disturbedUntilMillis, endMillis);
	}

	long disturbedUntilMillis() {
		return this.disturbedUntilMillis;
	}

	/**
	 * Looks at the tasks of the first step of a job.
	 * @param job the job, which has not ended
	 * @param tasks number of the tasks
	 */
	void sample(String job, int tasks) {
		StepKey step = new StepKey(job, 0, 0);
		long now = this.cell.time.millis();
		boolean hasRoom = this.freeSlots.applyAsInt(step) >= 2;
		for (int i = 0; i < tasks; i++) {
			TaskKey task = step.task(i);
			if (this.cell.workers.runningTasks().contains(task)) {
				endWait(task, now);
			}
			else {
				this.waits.computeIfAbsent(task, (key) -> new Wait(key, now)).sample(now, hasRoom);
			}
		}
	}

	private void endWait(TaskKey task, long now) {
		Wait wait = this.waits.remove(task);
		if (wait != null) {
			wait.endMillis = now;
			this.ended.add(wait);
		}
	}

	/**
	 * Returns the waits that were longer than users allow, the longest first.
	 * @return the waits
	 */
	List<Wait> faults() {
		return allWaits().stream().filter((wait) -> wait.overdueMillis >= 0).toList();
	}

	/**
	 * Returns all waits, those that came furthest beyond what users allow, or came
	 * closest to it, first.
	 * @return the waits
	 */
	List<Wait> allWaits() {
		List<Wait> all = new ArrayList<>(this.ended);
		all.addAll(this.waits.values());
		all.sort((one, other) -> Long.compare(other.overdueMillis, one.overdueMillis));
		return all;
	}

	/** A time in which a task had no run. */
	final class Wait {

		final TaskKey task;

		/** When the task was first seen without a run, on the virtual clock. */
		final long beginMillis;

		/** When it was seen to run again, the maximum value while it waits. */
		long endMillis = Long.MAX_VALUE;

		/** End of the last disturbance before the last sample. */
		long disturbedMillis;

		/**
		 * Time from when it is a fault that the task waits, negative if it ended before
		 * that, milliseconds.
		 */
		long overdueMillis = Long.MIN_VALUE;

		private long besideRoomSinceMillis = Long.MAX_VALUE;

		Wait(TaskKey task, long beginMillis) {
			this.task = task;
			this.beginMillis = beginMillis;
		}

		private void sample(long now, boolean hasRoom) {
			if (!hasRoom) {
				this.besideRoomSinceMillis = Long.MAX_VALUE;
				return;
			}
			this.besideRoomSinceMillis = Math.min(this.besideRoomSinceMillis, now);
			this.disturbedMillis = LongRunningTaskWatch.this.disturbedUntilMillis;
			long allowedMillis = Math.max(this.besideRoomSinceMillis, Math.max(this.beginMillis + RESTART_MILLIS,
					this.disturbedMillis + CONTACT_MILLIS + CALM_BEFORE_MILLIS)) + WAIT_MILLIS;
			this.overdueMillis = Math.max(this.overdueMillis, now - allowedMillis);
		}

	}

}
