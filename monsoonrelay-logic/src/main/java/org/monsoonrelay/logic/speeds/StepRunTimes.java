package org.monsoonrelay.logic.speeds;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;

/**
 * The run times of the tasks of one step that have ended, which tell a slow worker from a
 * long step. Not thread-safe.
 */
final class StepRunTimes {

	/** Ended tasks from which on others are compared with them. */
	static final int MIN_PEERS = 3;

	/** The latest ended tasks that are kept. */
	private static final int MAX_PEERS = 64;

	private final double[] peers = new double[MAX_PEERS];

	private final List<Unjudged> unjudged = new ArrayList<>();

	private double[] sorted = {};

	private int sortedFor;

	private int ended;

	private int activeRuns;

	/**
	 * Returns what is expected of the step's tasks on any worker: the median of all tasks
	 * that have started. The first tasks to end alone would tell too little, as they are
	 * the shortest.
	 * @return logarithm of the run time as a multiple of the declared one, empty unless
	 * most tasks have ended
	 */
	OptionalDouble expected() {
		boolean isKnown = this.ended >= MIN_PEERS && this.ended > this.activeRuns;
		return isKnown ? OptionalDouble.of(median()) : OptionalDouble.empty();
	}

	private double median() {
		int count = Math.min(this.ended, MAX_PEERS);
		if (this.sortedFor != this.ended) {
			this.sorted = Arrays.copyOf(this.peers, count);
			Arrays.sort(this.sorted);
			this.sortedFor = this.ended;
		}
		return this.sorted[Math.min(count - 1, (count + this.activeRuns) / 2)];
	}

	/**
	 * Records a task that has ended.
	 * @param logRatio logarithm of its run time as a multiple of the declared one, less
	 * the deviation of its worker
	 */
	void add(double logRatio) {
		this.peers[this.ended % MAX_PEERS] = logRatio;
		this.ended++;
	}

	void addUnjudged(WorkerSpeed worker, double logRatio) {
		this.unjudged.add(new Unjudged(worker, logRatio));
	}

	/**
	 * Judges the workers of the first tasks once enough others have ended.
	 * @param nowNanos the current monotonic time
	 */
	void judge(long nowNanos) {
		expected().ifPresent((expected) -> {
			this.unjudged.forEach((first) -> first.worker().add(first.logRatio() - expected, nowNanos));
			this.unjudged.clear();
		});
	}

	void runStarted() {
		this.activeRuns++;
	}

	boolean runEnded() {
		this.activeRuns--;
		return this.activeRuns == 0;
	}

	private record Unjudged(WorkerSpeed worker, double logRatio) {

	}

}
