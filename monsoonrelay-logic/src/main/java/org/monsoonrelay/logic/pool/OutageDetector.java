package org.monsoonrelay.logic.pool;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Stream;

/**
 * Detects that the workers of a rack or failure domain became unreachable together, as
 * with a power loss. Not thread-safe: confined to the control thread.
 */
final class OutageDetector {

	/**
	 * Within this time all workers that lose power together are found to be unreachable,
	 * milliseconds: a poll waits for 1,000 and times out 450 later.
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
	 * @param hasCrashingTask whether workers certainly crashed under one of its tasks
	 * before, which probably is the reason
	 * @param nowNanos the current monotonic time
	 */
	void workerUnreachable(PoolWorker worker, boolean hasCrashingTask, long nowNanos) {
		long oldest = nowNanos - TimeUnit.MILLISECONDS.toNanos(MAX_RESTART_MILLIS);
		while (!this.lastContacts.isEmpty() && this.lastContacts.peekFirst().nanos() - oldest < 0) {
			this.lastContacts.removeFirst();
		}
		this.lastContacts.addLast(new Contact(worker.info(), hasCrashingTask, nowNanos));
	}

	/**
	 * Returns whether a worker became unreachable together with at least half of its rack
	 * or failure domain.
	 * @param worker the worker
	 * @param workers all workers of the pool
	 * @param nowNanos the current monotonic time
	 * @return {@code true} if all of them probably failed for one reason
	 */
	boolean isPartOfOutage(PoolWorker worker, Collection<PoolWorker> workers, long nowNanos) {
		long lostNanos = worker.silence().sinceNanos(nowNanos);
		List<Contact> together = this.lastContacts.stream()
			.filter((contact) -> Math.abs(contact.nanos() - lostNanos) <= TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS))
			.toList();
		return isOutageOf(WorkerInfo::rack, worker.info(), together, workers)
				|| isOutageOf(WorkerInfo::failureDomain, worker.info(), together, workers);
	}

	private static boolean isOutageOf(Function<WorkerInfo, String> group, WorkerInfo worker, List<Contact> together,
			Collection<PoolWorker> workers) {
		String name = group.apply(worker);
		List<Contact> lost = together.stream().filter((contact) -> group.apply(contact.worker()).equals(name)).toList();
		long size = workers.stream().filter((other) -> group.apply(other.info()).equals(name)).count();
		// Several crashing tasks can end half of a rack at once, but nothing else with
		// it.
		long unexplained = countWorkers(lost.stream().filter((contact) -> !contact.hasCrashingTask()));
		return unexplained >= MIN_WORKERS && countWorkers(lost.stream()) >= MIN_SHARE * size;
	}

	private static long countWorkers(Stream<Contact> contacts) {
		return contacts.map((contact) -> contact.worker().id()).distinct().count();
	}

	private record Contact(WorkerInfo worker, boolean hasCrashingTask, long nanos) {

	}

}
