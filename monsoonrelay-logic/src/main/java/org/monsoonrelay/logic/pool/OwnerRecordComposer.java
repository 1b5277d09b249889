package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.platform.Json;

/**
 * Composes the owner records of one term. Invariant: a record that names the tasks on
 * closed workers fits into a row; it names these workers without tasks otherwise. Not
 * thread-safe: confined to the control thread.
 */
final class OwnerRecordComposer {

	private final UnresolvedStarts starts;

	private final int maxRowBytes;

	private final long formerLeaseEndNanos;

	private List<String> standbys;

	private HostSize largest;

	/**
	 * Creates a composer with the standbys of the former owner.
	 * @param takeOver how this process became the owner
	 * @param starts the starts that the next owner has to know
	 * @param maxRowBytes maximum size of a row, bytes
	 */
	OwnerRecordComposer(TakeOver takeOver, UnresolvedStarts starts, int maxRowBytes) {
		this.starts = starts;
		this.maxRowBytes = maxRowBytes;
		this.formerLeaseEndNanos = takeOver.formerLeaseEndNanos();
		this.standbys = takeOver.record().standbys();
		this.largest = takeOver.record().largest();
	}

	/**
	 * Sets the standbys for the next record.
	 * @param hosts names of the standby hosts
	 * @param largestHost size of the largest host
	 */
	void setStandbys(List<String> hosts, HostSize largestHost) {
		this.standbys = List.copyOf(hosts);
		this.largest = largestHost;
	}

	/**
	 * Composes the next record.
	 * @param last the last record that took effect
	 * @param next what changes with each record
	 * @param workers the workers to record
	 * @param nowNanos current monotonic time, nanoseconds
	 * @return the record
	 */
	OwnerRecord compose(OwnerRecord last, Next next, WorkerPool.RecordedWorkers workers, long nowNanos) {
		OwnerRecord record = record(last, next, workers, nowNanos);
		boolean fits = workers.closedWorkers().isEmpty() || Json.write(record).length() <= this.maxRowBytes;
		return fits ? record : record(last, next, workers.withoutTasks(), nowNanos);
	}

	private OwnerRecord record(OwnerRecord last, Next next, WorkerPool.RecordedWorkers workers, long nowNanos) {
		return new OwnerRecord(last.holder(), last.host(), last.epoch(), next.number(), next.released(),
				workers.workers(), workers.closedWorkers(), this.largest, this.standbys, next.confirming(), true,
				workers.incarnations(), this.starts.toRecord(nowNanos), workers.silentWorkers(),
				this.starts.expiriesToRecord(nowNanos), formerLeaseMillis(nowNanos), last.address());
	}

	private long formerLeaseMillis(long nowNanos) {
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(this.formerLeaseEndNanos - nowNanos) + 1);
	}

	/**
	 * What changes with each record of an owner. Immutable.
	 *
	 * @param number number of the write
	 * @param released whether the owner releases the pool
	 * @param confirming whether the owner confirms its ownership before it starts a job
	 * that is younger than the record
	 */
	record Next(long number, boolean released, boolean confirming) {

	}

}
