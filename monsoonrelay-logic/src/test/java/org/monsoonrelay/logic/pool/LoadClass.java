package org.monsoonrelay.logic.pool;

/**
 * A class of jobs in a simulated load. Varying quantities are log-normally distributed.
 * Immutable.
 *
 * @param name name of the class
 * @param arrivalsPerSecond jobs that arrive per second
 * @param value value that a job of mean work earns if it meets its deadline
 * @param slackFactor allowed time in multiples of the run time of its steps in sequence
 * @param targetMillis allowed time in addition to that, milliseconds
 * @param steps mean number of steps per job
 * @param width tasks per step
 * @param runMillis run time of a task, milliseconds
 * @param processors thousandths of a processor that a task uses
 * @param memory memory that a task uses, MiB
 * @param gangShare share of gangs among the steps
 * @param estimateError largest error of the declared run time, as a share of the true one
 * @param eligibleShare share of the workers that may run a step
 * @param decideMillis fixed duration of an eligibility call, milliseconds
 * @param perWorkerMillis additional duration of the call per worker, milliseconds
 * @param burst period with a higher arrival rate
 */
record LoadClass(String name, double arrivalsPerSecond, double value, double slackFactor, long targetMillis,
		double steps, Spread width, Spread runMillis, Spread processors, Spread memory, double gangShare,
		double estimateError, double eligibleShare, double decideMillis, double perWorkerMillis, Burst burst) {

	/** Share of its value that a late job earns, up to three times its allowed time. */
	static final double LATE_VALUE_SHARE = 0.2;

	LoadClass(String name, double arrivalsPerSecond, double value, double slackFactor, long targetMillis, double steps,
			Spread width, Spread runMillis, Spread processors, Spread memory, double gangShare, double estimateError,
			double eligibleShare, double decideMillis, double perWorkerMillis) {
		this(name, arrivalsPerSecond, value, slackFactor, targetMillis, steps, width, runMillis, processors, memory,
				gangShare, estimateError, eligibleShare, decideMillis, perWorkerMillis, Burst.NONE);
	}

	double arrivalRateAt(long millis) {
		boolean isBurst = this.burst.startMillis() <= millis && millis < this.burst.endMillis();
		return isBurst ? this.burst.factor() * this.arrivalsPerSecond : this.arrivalsPerSecond;
	}

	LoadClass scaled(double factor) {
		return new LoadClass(this.name, this.arrivalsPerSecond * factor, this.value, this.slackFactor,
				this.targetMillis, this.steps, this.width, this.runMillis, this.processors, this.memory, this.gangShare,
				this.estimateError, this.eligibleShare, this.decideMillis, this.perWorkerMillis, this.burst);
	}

	LoadClass withBurst(Burst newBurst) {
		return new LoadClass(this.name, this.arrivalsPerSecond, this.value, this.slackFactor, this.targetMillis,
				this.steps, this.width, this.runMillis, this.processors, this.memory, this.gangShare,
				this.estimateError, this.eligibleShare, this.decideMillis, this.perWorkerMillis, newBurst);
	}

	/**
	 * A period with a higher arrival rate.
	 *
	 * @param startMillis its start, milliseconds
	 * @param endMillis its end, milliseconds
	 * @param factor factor of the arrival rate
	 */
	record Burst(long startMillis, long endMillis, double factor) {

		/** No burst. */
		static final Burst NONE = new Burst(0, 0, 1);

	}

	/**
	 * A log-normally distributed quantity with an upper bound.
	 *
	 * @param mean its mean
	 * @param deviation standard deviation of its logarithm
	 * @param max its upper bound
	 */
	record Spread(double mean, double deviation, double max) {

		double sample(java.util.Random random) {
			double centre = Math.log(this.mean) - this.deviation * this.deviation / 2;
			return Math.min(this.max, Math.exp(centre + this.deviation * random.nextGaussian()));
		}

	}

}
