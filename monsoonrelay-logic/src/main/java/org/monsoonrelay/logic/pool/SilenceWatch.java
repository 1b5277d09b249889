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
final class SilenceWatch {

	/**
	 * How long an order may stay unanswered, milliseconds. Workers answer within 2 ms;
	 * this leaves room for a connection that has to be opened and for a pause of this
	 * process.
	 */
	static final long UNANSWERED_MILLIS = 150;

	/** Workers with unanswered orders from which on a failure domain is doubted. */
	private static final int DOUBTED_OF_DOMAIN = 2;

	private SilenceWatch() {
	}

	/**
	 * Judge all workers anew.
	 * @param workers the workers
	 * @param nowNanos the current time
	 * @return those that are doubted from now on
	 */
	static List<PoolWorker> judge(Collection<PoolWorker> workers, long nowNanos) {
		long limit = TimeUnit.MILLISECONDS.toNanos(UNANSWERED_MILLIS);
		Map<String, Domain> domains = new HashMap<>();
		for (PoolWorker worker : workers) {
			if (worker.unansweredNanos(nowNanos) > limit) {
				domains.computeIfAbsent(worker.info().failureDomain(), (name) -> new Domain()).add(worker, nowNanos);
			}
		}
		List<PoolWorker> doubted = new ArrayList<>();
		for (PoolWorker worker : workers) {
			Domain domain = domains.get(worker.info().failureDomain());
			boolean isDoubted = domain != null
					&& (worker.unansweredNanos(nowNanos) > limit || domain.isSilent(workers, worker, nowNanos));
			if (isDoubted && !worker.isDoubted()) {
				doubted.add(worker);
			}
			worker.doubt(isDoubted);
		}
		return doubted;
	}

	private static final class Domain {

		private int unanswered;

		private long longestNanos;

		private Boolean silent;

		void add(PoolWorker worker, long nowNanos) {
			this.unanswered++;
			this.longestNanos = Math.max(this.longestNanos, worker.unansweredNanos(nowNanos));
		}

		boolean isSilent(Collection<PoolWorker> workers, PoolWorker member, long nowNanos) {
			if (this.silent == null) {
				String name = member.info().failureDomain();
				this.silent = this.unanswered >= DOUBTED_OF_DOMAIN && workers.stream()
					.filter((worker) -> worker.info().failureDomain().equals(name))
					.noneMatch((worker) -> worker.heardWithin(this.longestNanos, nowNanos));
			}
			return this.silent;
		}

	}

}
