package org.monsoonrelay.systemtests.host;

/**
 * How a platform does what its interfaces leave open. Immutable but for the troubles of
 * its table.
 *
 * @param table takes the calls of hosts to the table
 * @param reports how workers list what runs and what has ended
 * @param reportMillis how long a report of a worker is under way
 * @param asksEligibility whether the queue asks which workers are eligible
 */
record PlatformForm(TableTroubles table, ReportForm reports, int reportMillis, boolean asksEligibility) {

	/**
	 * The calmest form.
	 * @return the form
	 */
	static PlatformForm calm() {
		return new PlatformForm(new TableTroubles(0, AnswerCut.NONE, 0), ReportForm.WHOLE, 0, true);
	}

	/** How long an answer to a call for changes may be. */
	@FunctionalInterface
	interface AnswerCut {

		/** Answers are never cut. */
		AnswerCut NONE = () -> Integer.MAX_VALUE;

		/**
		 * How many rows the next answer may have.
		 * @return the number, at least 1
		 */
		int rows();

	}

}
