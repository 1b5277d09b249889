package org.monsoonrelay.model.submission;

/**
 * What it costs to ask which workers may run a step of a queue, and how long the answer
 * may be used. Immutable.
 *
 * @param decideMillis time an answer takes, milliseconds
 * @param perWorkerMillis time more for each worker asked about, milliseconds
 * @param validMillis how long a ticket is valid, milliseconds
 */
public record EligibilityTimes(double decideMillis, double perWorkerMillis, long validMillis) {

	/**
	 * How long a question takes.
	 * @param workers number of workers asked about
	 * @return milliseconds
	 */
	public double costMillis(int workers) {
		return this.decideMillis + this.perWorkerMillis * workers;
	}

}
