package org.monsoonrelay.logic.pool;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Detects that the workers of a failure domain became unreachable together, as with a
 * power loss. Not thread-safe: confined to the control thread.
 */
final class OutageDetector {

	/**
	 * Within this time all workers of a failure domain that loses power are found to be
	 * unreachable, milliseconds: a poll waits for 1,000 and times out 450 later.
	 */
	private static final long WINDOW_MILLIS = 2000;

	/** A worker that takes longer to restart counts as one that failed alone. */
	private static final long MAX_RESTART_MILLIS = 30_000;

	private static final int MIN_WORKERS = 3;

	private static final double MIN_SHARE = 0.5;

	private final Deque<Contact> lastContacts = new ArrayDeque<>();

	/**
	 * Records that a worker does not answer any more.
	 * @param worker the worker
	 * @param nowNanos the current monotonic time
	 */
	void workerUnreachable(PoolWorker worker, long nowNanos) {
		long oldest = nowNanos - TimeUnit.MILLISECONDS.toNanos(MAX_RESTART_MILLIS);
		while (!this.lastContacts.isEmpty() && this.lastContacts.peekFirst().nanos() - oldest < 0) {
			this.lastContacts.removeFirst();
		}
		this.lastContacts.addLast(new Contact(worker.id(), worker.info().failureDomain(), nowNanos));
	}

	/**
	 * Returns whether a worker became unreachable together with at least half of its
	 * failure domain.
	 * @param worker the worker
	 * @param workers all workers of the pool
	 * @param nowNanos the current monotonic time
	 * @return {@code true} if all of them probably failed for one reason
	 */
	boolean isPartOfOutage(PoolWorker worker, Collection<PoolWorker> workers, long nowNanos) {
		String domain = worker.info().failureDomain();
		long lostNanos = worker.silence().sinceNanos(nowNanos);
		long together = this.lastContacts.stream()
			.filter((contact) -> contact.failureDomain().equals(domain))
			.filter((contact) -> Math.abs(contact.nanos() - lostNanos) <= TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS))
			.map(Contact::worker)
			.distinct()
			.count();
		long size = workers.stream().filter((other) -> other.info().failureDomain().equals(domain)).count();
		return together >= MIN_WORKERS && together >= MIN_SHARE * size;
	}

	private record Contact(String worker, String failureDomain, long nanos) {

	}

}
