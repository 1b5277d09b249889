package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Finds workers that have become silent before their looks time out, so that no more
 * tasks are sent there: a worker whose order stays unanswered, and all workers of a
 * failure domain of which two are so and none is heard of. Answers the load of a failure
 * domain that is cut off: a look takes 1.45 s to fail, and meanwhile nearly every job of
 * several tasks lost one to that domain for the length of the cut. A doubted worker is
 * used again with its next answer. Stateless.
 */
final class UnresponsiveWorkerDetector {

	/**
	 * How long an order may stay unanswered, milliseconds. Workers answer within 2 ms;
	 * this leaves room for a connection that has to be opened and for a pause of this
	 * process.
	 */
	static final long RESPONSE_TIMEOUT_MILLIS = 150;

	/** Workers with unanswered orders from which on a failure domain is doubted. */
	private static final int MIN_UNRESPONSIVE_PER_DOMAIN = 2;

	private UnresponsiveWorkerDetector() {
	}

	/**
	 * Judge all workers anew.
	 * @param workers the workers
	 * @param nowNanos the current time
	 * @return those that are doubted from now on
	 */
	static List<PoolWorker> updateSuspicions(Collection<PoolWorker> workers, long nowNanos) {
		long limit = TimeUnit.MILLISECONDS.toNanos(RESPONSE_TIMEOUT_MILLIS);
		Map<String, FailureDomainStatus> domains = new HashMap<>();
		for (PoolWorker worker : workers) {
			if (worker.unansweredNanos(nowNanos) > limit) {
				domains.computeIfAbsent(worker.info().failureDomain(), (name) -> new FailureDomainStatus())
					.add(worker, nowNanos);
			}
		}
		List<PoolWorker> doubted = new ArrayList<>();
		for (PoolWorker worker : workers) {
			FailureDomainStatus domain = domains.get(worker.info().failureDomain());
			boolean isDoubted = domain != null
					&& (worker.unansweredNanos(nowNanos) > limit || domain.isUnresponsive(workers, worker, nowNanos));
			if (isDoubted && !worker.isSuspected()) {
				doubted.add(worker);
			}
			worker.setSuspected(isDoubted);
		}
		return doubted;
	}

	private static final class FailureDomainStatus {

		private int unresponsiveWorkers;

		private long longestUnansweredNanos;

		private Boolean unresponsive;

		void add(PoolWorker worker, long nowNanos) {
			this.unresponsiveWorkers++;
			this.longestUnansweredNanos = Math.max(this.longestUnansweredNanos, worker.unansweredNanos(nowNanos));
		}

		boolean isUnresponsive(Collection<PoolWorker> workers, PoolWorker member, long nowNanos) {
			if (this.unresponsive == null) {
				String name = member.info().failureDomain();
				this.unresponsive = this.unresponsiveWorkers >= MIN_UNRESPONSIVE_PER_DOMAIN && workers.stream()
					.filter((worker) -> worker.info().failureDomain().equals(name))
					.noneMatch((worker) -> worker.hasRespondedWithin(this.longestUnansweredNanos, nowNanos));
			}
			return this.unresponsive;
		}

	}

}
