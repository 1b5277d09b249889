package org.monsoonrelay.logic.pool;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.model.submission.StepKey;

/**
 * Tells which tasks cannot be started now and until when at the latest, as far as that is
 * known: tasks that wait until nothing can run on workers of an earlier owner, and
 * long-running tasks whose runs are lost once the leases of their workers have expired.
 * Not thread-safe: confined to the control thread.
 */
final class StartForecast {

	private final JobRegistry jobs;

	private final WorkerPool pool;

	// Monotonic time at which no worker is left on which any task may run.
	private long recoveryEndNanos;

	// By step, the monotonic time at which a run of it is lost.
	private final Map<StepKey, Long> lossNanos = new HashMap<>();

	StartForecast(JobRegistry jobs, WorkerPool pool) {
		this.jobs = jobs;
		this.pool = pool;
	}

	/**
	 * Updates the times that do not depend on a single step.
	 * @param nowNanos the current monotonic time
	 */
	void update(long nowNanos) {
		this.recoveryEndNanos = endNanos(this.pool.inherited().unreconciledRemainingMillis(nowNanos), nowNanos);
		this.lossNanos.clear();
		for (PoolWorker worker : this.pool.workers()) {
			if (mayBeLost(worker)) {
				long endNanos = endNanos(worker.lease().remainingMillis(nowNanos), nowNanos);
				worker.runs()
					.forEach((run) -> this.lossNanos.merge(run.task().stepKey(), endNanos,
							(first, second) -> (second - first < 0) ? second : first));
			}
		}
	}

	private static boolean mayBeLost(PoolWorker worker) {
		return !worker.isReachable() && !worker.isLost() && worker.runCount() > 0;
	}

	private static long endNanos(long remainingMillis, long nowNanos) {
		return nowNanos + TimeUnit.MILLISECONDS.toNanos(Math.max(0, remainingMillis));
	}

	/**
	 * Returns when the first tasks of a step can be started that cannot be now.
	 * @param step the step
	 * @param reason why its waiting tasks are not started, empty if none is waiting
	 * @param nowNanos the current monotonic time
	 * @return the tasks, empty if there are none or it is not known when
	 */
	Optional<UpcomingStart> next(ActiveStep step, Optional<WaitReason> reason, long nowNanos) {
		if (reason.isEmpty()) {
			return Optional.ofNullable(this.lossNanos.get(step.key()))
				.filter((nanos) -> step.spec().longRunning())
				.map((nanos) -> new UpcomingStart(tasksOnWorkersThatMayBeLost(step), nanos));
		}
		return switch (reason.get()) {
			case OWNER_RECOVERY -> Optional.of(new UpcomingStart(step.waitingTasks(), this.recoveryEndNanos));
			case RUN_UNCONFIRMED ->
				Optional.of(new UpcomingStart(step.waitingTasks(), unconfirmedEndNanos(step, nowNanos)));
			default -> Optional.empty();
		};
	}

	private List<Integer> tasksOnWorkersThatMayBeLost(ActiveStep step) {
		return step.activeRuns()
			.stream()
			.filter((run) -> this.pool.worker(run.workerId()).filter(StartForecast::mayBeLost).isPresent())
			.map((run) -> run.task().index())
			.toList();
	}

	private long unconfirmedEndNanos(ActiveStep step, long nowNanos) {
		long millis = step.waitingTasks()
			.stream()
			.mapToLong((index) -> this.pool.inherited().unconfirmedRemainingMillis(step.key().task(index), nowNanos))
			.filter((remaining) -> remaining > 0)
			.min()
			.orElse(0);
		long endNanos = endNanos(millis, nowNanos);
		boolean endsWithRecovery = this.jobs.isInherited(step.job().id()) && this.recoveryEndNanos - endNanos > 0;
		return endsWithRecovery ? this.recoveryEndNanos : endNanos;
	}

	/**
	 * Tasks that can be started later. Immutable.
	 *
	 * @param tasks indexes of the tasks
	 * @param latestNanos monotonic time at which they can be started at the latest
	 */
	record UpcomingStart(List<Integer> tasks, long latestNanos) {

	}

}
