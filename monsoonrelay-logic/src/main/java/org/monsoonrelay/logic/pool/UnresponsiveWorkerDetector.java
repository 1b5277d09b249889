package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Detects unresponsive workers before their polls time out, so that no more tasks are
 * placed on them. A worker is suspected if a request to it stays unanswered, or if two
 * workers of its failure domain have unanswered requests and no worker of the domain
 * responded since the oldest of them was sent. Without this detection, nearly every job
 * with several tasks loses one of them to a partitioned failure domain until the
 * partition heals, because a poll takes 1.45 s to fail. A suspected worker is used again
 * after its next response. Stateless.
 */
final class UnresponsiveWorkerDetector {

	/**
	 * How long a request may stay unanswered, milliseconds. Workers respond within 2 ms;
	 * the rest allows for opening a connection and for a pause of this process.
	 */
	static final long RESPONSE_TIMEOUT_MILLIS = 150;

	/** Minimum unresponsive workers for which a whole failure domain is suspected. */
	private static final int MIN_UNRESPONSIVE_PER_DOMAIN = 2;

	private UnresponsiveWorkerDetector() {
	}

	/**
	 * Updates for each worker whether it is suspected to be unresponsive.
	 * @param workers all workers
	 * @param nowNanos the current monotonic time
	 * @return the workers that became suspected
	 */
	static List<PoolWorker> updateSuspicions(Collection<PoolWorker> workers, long nowNanos) {
		long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(RESPONSE_TIMEOUT_MILLIS);
		Map<String, FailureDomainStatus> domains = new HashMap<>();
		for (PoolWorker worker : workers) {
			if (worker.responses().unansweredNanos(nowNanos) > timeoutNanos) {
				domains.computeIfAbsent(worker.info().failureDomain(), (name) -> new FailureDomainStatus())
					.add(worker, nowNanos);
			}
		}
		List<PoolWorker> newlySuspected = new ArrayList<>();
		for (PoolWorker worker : workers) {
			FailureDomainStatus domain = domains.get(worker.info().failureDomain());
			boolean isSuspected = domain != null && (worker.responses().unansweredNanos(nowNanos) > timeoutNanos
					|| domain.isUnresponsive(workers, worker, nowNanos));
			if (isSuspected && !worker.isSuspected()) {
				newlySuspected.add(worker);
			}
			worker.setSuspected(isSuspected);
		}
		return newlySuspected;
	}

	private static final class FailureDomainStatus {

		private int unresponsiveWorkers;

		private long longestUnansweredNanos;

		private Boolean unresponsive;

		void add(PoolWorker worker, long nowNanos) {
			this.unresponsiveWorkers++;
			this.longestUnansweredNanos = Math.max(this.longestUnansweredNanos,
					worker.responses().unansweredNanos(nowNanos));
		}

		boolean isUnresponsive(Collection<PoolWorker> workers, PoolWorker member, long nowNanos) {
			if (this.unresponsive == null) {
				String name = member.info().failureDomain();
				this.unresponsive = this.unresponsiveWorkers >= MIN_UNRESPONSIVE_PER_DOMAIN && workers.stream()
					.filter((worker) -> worker.info().failureDomain().equals(name))
					.noneMatch(
							(worker) -> worker.responses().hasRespondedWithin(this.longestUnansweredNanos, nowNanos));
			}
			return this.unresponsive;
		}

	}

}
