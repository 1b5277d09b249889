package org.monsoonrelay.logic.pool;

/**
 * A kind of jobs in a played load. Spreads are those of the logarithm. Immutable.
 *
 * @param name its name
 * @param perSecond jobs a second
 * @param worth what a job of mean work earns if it is done in time
 * @param slackFactor time it may take, in lengths of its chain of work
 * @param targetMillis time beyond that, milliseconds
 * @param steps mean number of steps
 * @param width tasks of a step
 * @param millis work of a task, milliseconds
 * @param processors thousandths of a processor that a task holds
 * @param memory MiB that a task holds
 * @param gangShare share of the steps that are gangs
 * @param estimateOff by how much the declared time may be off, of the true one
 * @param eligibleShare share of the workers that may run a step
 * @param decideMillis time of a call for eligibility, milliseconds
 * @param perWorkerMillis time more for each worker, milliseconds
 * @param burst when more of them come
 */
record LoadClass(String name, double perSecond, double value, double slackFactor, long targetMillis, double steps,
		Spread width, Spread millis, Spread processors, Spread memory, double gangShare, double estimateError,
		double eligibleShare, double decideMillis, double perWorkerMillis, Burst burst) {

	/** Share of its worth that a late job earns, up to three times its time. */
	static final double LATE_VALUE_SHARE = 0.2;

	LoadClass(String name, double perSecond, double worth, double slackFactor, long targetMillis, double steps,
			Spread width, Spread millis, Spread processors, Spread memory, double gangShare, double estimateOff,
			double eligibleShare, double decideMillis, double perWorkerMillis) {
		this(name, perSecond, worth, slackFactor, targetMillis, steps, width, millis, processors, memory, gangShare,
				estimateOff, eligibleShare, decideMillis, perWorkerMillis, Burst.NONE);
	}

	double perSecondAt(long millis) {
		boolean isBurst = this.burst.startMillis() <= millis && millis < this.burst.endMillis();
		return isBurst ? this.burst.factor() * this.perSecond : this.perSecond;
	}

	LoadClass scaled(double factor) {
		return new LoadClass(this.name, this.perSecond * factor, this.value, this.slackFactor, this.targetMillis,
				this.steps, this.width, this.millis, this.processors, this.memory, this.gangShare, this.estimateError,
				this.eligibleShare, this.decideMillis, this.perWorkerMillis, this.burst);
	}

	LoadClass withBurst(Burst more) {
		return new LoadClass(this.name, this.perSecond, this.value, this.slackFactor, this.targetMillis, this.steps,
				this.width, this.millis, this.processors, this.memory, this.gangShare, this.estimateError,
				this.eligibleShare, this.decideMillis, this.perWorkerMillis, more);
	}

	/**
	 * A while in which more jobs come.
	 *
	 * @param fromMillis its begin
	 * @param untilMillis its end
	 * @param factor how many times as many
	 */
	record Burst(long startMillis, long endMillis, double factor) {

		/** No such while. */
		static final Burst NONE = new Burst(0, 0, 1);

	}

	/**
	 * A spread quantity.
	 *
	 * @param mean its mean
	 * @param spread deviation of its logarithm
	 * @param most its upper bound
	 */
	record Spread(double mean, double deviation, double max) {

		double sample(java.util.Random random) {
			double centre = Math.log(this.mean) - this.deviation * this.deviation / 2;
			return Math.min(this.max, Math.exp(centre + this.deviation * random.nextGaussian()));
		}

	}

}
