package org.monsoonrelay.logic.pool;

import java.util.List;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.QueuePolicy;

/**
 * A waiting step during one placement pass, with everything that decides which workers it
 * may use. Looked up once per pass, because a lookup per worker and task took most of the
 * owner's processor time. Not thread-safe: confined to the control thread.
 *
 * @param step the step
 * @param tasks indexes of its waiting tasks
 * @param policy the policy in force for its queue
 * @param eligibility the known eligibility of workers for it
 * @param nowNanos time of the placement pass
 */
record PlacementContext(ActiveStep step, List<Integer> tasks, QueuePolicy policy, StepEligibility eligibility,
		long nowNanos) {

	/**
	 * Whether a worker matches the requirements of the step, regardless of eligibility
	 * and capacity.
	 * @param worker the worker
	 * @return {@code true} if it belongs to the queue's service and has the required
	 * label
	 */
	boolean matches(PoolWorker worker) {
		WorkerInfo info = worker.info();
		String label = this.step.spec().requiredLabel();
		return info.service().equals(this.policy.service()) && (label.isEmpty() || info.labels().contains(label));
	}

	/**
	 * Whether tasks of the step can be placed on a worker now.
	 * @param worker the worker
	 * @param count the number of tasks
	 * @return {@code true} if there is enough free capacity, the limit of tasks per
	 * worker is kept and no isolated task of another job is on probation there
	 */
	boolean fits(PoolWorker worker, int count) {
		return hasCapacity(worker, count)
				&& !worker.suspectedRuns().hasIsolatedOnProbationOfAnother(this.step.key().job());
	}

	/**
	 * Whether a worker has capacity for tasks of the step, regardless of what else it
	 * runs.
	 * @param worker the worker
	 * @param count the number of tasks
	 * @return {@code true} if there is enough free capacity and the limit of tasks per
	 * worker is kept
	 */
	boolean hasCapacity(PoolWorker worker, int count) {
		Resources size = this.step.spec().committedSize();
		return worker.canAccept((count == 1) ? size : size.times(count), this.nowNanos) && isWithinLimit(worker, count);
	}

	private boolean isWithinLimit(PoolWorker worker, int count) {
		int limit = this.step.spec().maximumPerWorker();
		return limit == 0 || worker.runCountOf(this.step.key()) + count <= limit;
	}

	boolean isEligible(PoolWorker worker) {
		return !this.policy.needsEligibility() || this.eligibility.isEligible(worker.id());
	}

	boolean isEligibleOrUnqueried(PoolWorker worker) {
		return isEligible(worker) || !this.eligibility.wasQueried(worker.id());
	}

	boolean hasTicket(PoolWorker worker) {
		return !this.policy.needsEligibility() || this.eligibility.ticket(worker.id(), this.nowNanos).isPresent();
	}

	String ticket(PoolWorker worker) {
		return this.eligibility.ticket(worker.id(), this.nowNanos).orElse("");
	}

	/**
	 * Records why the waiting tasks are not started in this pass.
	 * @param reason the reason
	 */
	void recordWait(WaitReason reason) {
		this.step.waiting().record(reason, this.nowNanos);
	}

}
