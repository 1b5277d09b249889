package org.monsoonrelay.model.submission;

/**
 * Duration of the eligibility requests of a queue and validity of the tickets that they
 * return. Immutable.
 *
 * @param decideMillis fixed duration of a request, milliseconds
 * @param perWorkerMillis additional duration for each queried worker, milliseconds
 * @param validMillis how long a ticket is valid, milliseconds
 */
public record EligibilityTimes(double decideMillis, double perWorkerMillis, long validMillis) {

	/**
	 * Expected duration of an eligibility request.
	 * @param workers number of queried workers
	 * @return duration in milliseconds
	 */
	public double costMillis(int workers) {
		return this.decideMillis + this.perWorkerMillis * workers;
	}

}
