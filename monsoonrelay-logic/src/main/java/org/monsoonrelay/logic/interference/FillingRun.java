package org.monsoonrelay.logic.interference;

import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.pool.ObservedRun;
import org.monsoonrelay.logic.pool.RunningTask;

/**
 * A filling run and the speed that is wanted of it. Invariant: a run that was never
 * slowed by this owner or an earlier one is sent nothing. Not thread-safe: confined to
 * the control thread.
 */
final class FillingRun {

	private static final int[] STEPS = { 0, 20, 50, 100 };

	private static final int FULL_SPEED_PERCENT = 100;

	/** Requests that are sent at short intervals; further ones may have no effect. */
	private static final int MAX_QUICK_REQUESTS = 3;

	/** Least interval between requests, longer than a report is old, nanoseconds. */
	private static final long MIN_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final ObservedRun run;

	private int wantedPercent;

	private boolean paced;

	private int requestCount;

	private long requestedNanos;

	private long usage;

	FillingRun(ObservedRun run, int reportedPercent) {
		this.run = run;
		// An earlier owner may have slowed the run.
		this.paced = run.adopted() && reportedPercent < FULL_SPEED_PERCENT;
		this.wantedPercent = FULL_SPEED_PERCENT;
		for (int i = STEPS.length - 1; this.paced && i >= 0 && this.wantedPercent > reportedPercent; i--) {
			this.wantedPercent = STEPS[i];
		}
	}

	/**
	 * Sends the wanted speed again if the worker reports another one.
	 * @param report what the worker reports
	 * @param settings the bounds
	 * @param requests sends requests to workers
	 * @param nowNanos the current monotonic time
	 */
	void reported(RunningTask report, InterferenceSettings settings, PaceRequests requests, long nowNanos) {
		this.usage = report.usage();
		boolean isQuick = this.requestCount < MAX_QUICK_REQUESTS;
		long interval = isQuick
				? Math.max(MIN_RETRY_NANOS, TimeUnit.MILLISECONDS.toNanos(settings.pacingIntervalMillis()))
				: TimeUnit.MILLISECONDS.toNanos(settings.harmMillis());
		boolean isDue = this.requestCount == 0 || nowNanos - this.requestedNanos >= interval;
		if (this.paced && report.speedPercent() != this.wantedPercent && isDue) {
			send(requests, nowNanos);
		}
	}

	void want(int percent, PaceRequests requests, long nowNanos) {
		this.wantedPercent = percent;
		this.paced = true;
		this.requestCount = 0;
		send(requests, nowNanos);
	}

	private void send(PaceRequests requests, long nowNanos) {
		this.requestCount++;
		this.requestedNanos = nowNanos;
		requests.pace(this.run, this.wantedPercent);
	}

	int nextLower() {
		int next = 0;
		for (int step : STEPS) {
			next = (step < this.wantedPercent) ? step : next;
		}
		return next;
	}

	int nextHigher() {
		for (int step : STEPS) {
			if (step > this.wantedPercent) {
				return step;
			}
		}
		return FULL_SPEED_PERCENT;
	}

	boolean isSlowed() {
		return this.wantedPercent < FULL_SPEED_PERCENT;
	}

	boolean isHalted() {
		return this.wantedPercent == 0;
	}

	int wantedPercent() {
		return this.wantedPercent;
	}

	long usage() {
		return this.usage;
	}

	ObservedRun run() {
		return this.run;
	}

}
