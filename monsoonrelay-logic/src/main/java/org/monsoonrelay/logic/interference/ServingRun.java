package org.monsoonrelay.logic.interference;

import org.monsoonrelay.logic.pool.ObservedRun;
import org.monsoonrelay.logic.pool.RunningTask;

/**
 * A run that serves users, and since when it has missed its latency target. Not
 * thread-safe: confined to the control thread.
 */
final class ServingRun {

	/** Share of the target below which there is room for disturbance. */
	private static final double ROOM_SHARE = 0.8;

	private static final int FULL_SPEED_PERCENT = 100;

	private final ObservedRun run;

	private long tailMillis = -1;

	private long reportedNanos;

	private long missedSinceNanos;

	private boolean missing;

	ServingRun(ObservedRun run) {
		this.run = run;
	}

	void reported(RunningTask report, long maxSilenceNanos, long nowNanos) {
		boolean isMissing = report.speedPercent() == FULL_SPEED_PERCENT
				&& report.usage() > this.run.step().targetMillis();
		boolean isKnown = this.tailMillis >= 0 && nowNanos - this.reportedNanos < maxSilenceNanos;
		if (isMissing && !(this.missing && isKnown)) {
			this.missedSinceNanos = nowNanos;
		}
		this.missing = isMissing;
		this.tailMillis = Math.max(0, report.usage());
		this.reportedNanos = nowNanos;
	}

	boolean isMissing() {
		return this.missing;
	}

	long missedSinceNanos() {
		return this.missedSinceNanos;
	}

	boolean hasRoom() {
		return this.tailMillis <= ROOM_SHARE * this.run.step().targetMillis();
	}

	long tailMillis() {
		return this.tailMillis;
	}

	ObservedRun run() {
		return this.run;
	}

}
