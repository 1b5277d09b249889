package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

/**
 * Decides whether an earlier owner may have started tasks of a job, by the version of the
 * job's row and never by when this owner learns of the job. A former owner that does not
 * know of the take-over yet may start jobs that are stored after it, until its own lease
 * expires. Not thread-safe: confined to the control thread.
 */
final class InheritedJobs {

	private final long takenOverNanos;

	private final long formerOwnerStartMillis;

	private long lastInheritedVersion;

	/**
	 * Creates the decision of a new owner.
	 * @param takeOver how this process became the owner
	 * @param takenOverNanos monotonic time at which it knew that it was
	 */
	InheritedJobs(TakeOver takeOver, long takenOverNanos) {
		this.takenOverNanos = takenOverNanos;
		this.formerOwnerStartMillis = takeOver.formerOwnerStartMillis();
		this.lastInheritedVersion = (this.formerOwnerStartMillis > 0) ? Long.MAX_VALUE : takeOver.version();
	}

	/**
	 * Records that a write of this owner has taken effect. Jobs with a higher version
	 * were stored after it was composed.
	 * @param composedNanos monotonic time at which it was composed
	 * @param version the version of its rows
	 */
	void recordWrite(long composedNanos, long version) {
		boolean isFirstAfterFormerOwner = this.lastInheritedVersion == Long.MAX_VALUE
				&& TimeUnit.NANOSECONDS.toMillis(composedNanos - this.takenOverNanos) >= this.formerOwnerStartMillis;
		if (isFirstAfterFormerOwner) {
			this.lastInheritedVersion = version;
		}
	}

	boolean isInherited(long jobVersion) {
		return jobVersion <= this.lastInheritedVersion;
	}

}
