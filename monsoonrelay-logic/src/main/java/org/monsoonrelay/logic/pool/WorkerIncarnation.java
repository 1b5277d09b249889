package org.monsoonrelay.logic.pool;

import java.util.OptionalLong;

/**
 * What this owner knows of one incarnation of a worker. Not thread-safe: confined to the
 * control thread.
 */
final class WorkerIncarnation {

	private final WorkerLease lease = new WorkerLease();

	private final TerminationSequence terminations = new TerminationSequence();

	private OptionalLong startedMillis = OptionalLong.empty();

	WorkerLease lease() {
		return this.lease;
	}

	TerminationSequence terminations() {
		return this.terminations;
	}

	/**
	 * Returns when the incarnation was started.
	 * @return epoch milliseconds on the worker's clock, empty while it is not known
	 */
	OptionalLong startedMillis() {
		return this.startedMillis;
	}

	/**
	 * Returns whether a report stems from another incarnation: it tells of another start,
	 * or, if the worker does not tell, its clock was reset.
	 * @param report the report
	 * @return {@code true} if the worker has restarted
	 */
	boolean isContradictedBy(PollOutcome.Report report) {
		if (this.startedMillis.isPresent() && report.startedMillis().isPresent()) {
			return !this.startedMillis.equals(report.startedMillis());
		}
		return this.lease.isClockKnown() && report.clockMillis() < this.lease.clockMillis();
	}

	void recordStart(OptionalLong millis) {
		if (millis.isPresent()) {
			this.startedMillis = millis;
		}
	}

}
