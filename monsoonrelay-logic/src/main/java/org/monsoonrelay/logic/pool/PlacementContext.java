package org.monsoonrelay.logic.pool;

import java.util.List;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.QueuePolicy;

/**
 * A waiting step in one turn of placing, with all that decides which workers it may use.
 * Looked up once a turn: per worker and task it took most of an owner's processor time.
 * Not thread-safe: confined to the control thread.
 *
 * @param step the step
 * @param tasks numbers of its tasks that wait
 * @param policy its queue's policy in force
 * @param eligibility what is known of the workers that may run it
 * @param nowNanos time of the turn
 */
record PlacementContext(ActiveStep step, List<Integer> tasks, QueuePolicy policy, StepEligibility eligibility,
		long nowNanos) {

	/**
	 * Whether a worker could ever run the step, eligibility aside.
	 * @param worker the worker
	 * @return {@code true} if it serves the queue, has the label and is large enough
	 */
	boolean matches(PoolWorker worker) {
		WorkerInfo info = worker.info();
		String label = this.step.spec().requiredLabel();
		return info.service().equals(this.policy.service()) && (label.isEmpty() || info.labels().contains(label));
	}

	/**
	 * Whether a worker has room for tasks of the step now.
	 * @param worker the worker
	 * @param count how many tasks
	 * @return {@code true} if they fit and the step may have so many there
	 */
	boolean fits(PoolWorker worker, int count) {
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

	boolean isEligibleOrNew(PoolWorker worker) {
		return isEligible(worker) || !this.eligibility.wasQueried(worker.id());
	}

	boolean hasTicket(PoolWorker worker) {
		return !this.policy.needsEligibility() || this.eligibility.ticket(worker.id(), this.nowNanos).isPresent();
	}

	String ticket(PoolWorker worker) {
		return this.eligibility.ticket(worker.id(), this.nowNanos).orElse("");
	}

}
