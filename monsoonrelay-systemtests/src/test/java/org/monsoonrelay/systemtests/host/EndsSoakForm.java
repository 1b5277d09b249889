package org.monsoonrelay.systemtests.host;

import java.util.Random;

/**
 * The form of the platform in one seeded run: what its interfaces leave open is drawn
 * unless a property tells it. Immutable.
 *
 * @param answers how answers to calls for changes are cut: {@code whole}, {@code any} or
 * the number of rows
 * @param mostEnds how many ends a list of a worker holds
 * @param reportMillis how long a report of a worker is under way
 * @param late where an end that happened just now is missing
 */
record EndsSoakForm(String answers, int mostEnds, int reportMillis, ReportForm.Late late) {

	private static final int MOST_ROWS = 500;

	private static final int MOST_ENDS = 500;

	private static final int LONGEST_REPORT_MILLIS = 10;

	private static final int CALL_MILLIS = 5;

	static EndsSoakForm draw(long seed) {
		Random random = new Random(seed);
		int reportMillis = random.nextInt(LONGEST_REPORT_MILLIS + 1);
		int rows = drawRows(random);
		String answers = switch (Math.floorMod(seed, 4)) {
			case 0 -> "whole";
			case 1 -> "5";
			case 2 -> "any";
			default -> Integer.toString(rows);
		};
		return new EndsSoakForm(System.getProperty("soak.answers", answers), Integer.getInteger("soak.ends", MOST_ENDS),
				Integer.getInteger("soak.reports", reportMillis),
				ReportForm.Late.valueOf(System.getProperty("soak.late", "NONE")));
	}

	/** Short answers are as likely as long ones. */
	private static int drawRows(Random random) {
		return (int) Math.exp(random.nextDouble() * Math.log(MOST_ROWS));
	}

	/**
	 * For how long the table may show a change late, after one with a higher version.
	 * @return milliseconds, 0 if it shows all changes in order
	 */
	static int longestUnseenMillis() {
		return Integer.getInteger("soak.unseen", 0);
	}

	PlatformForm platform(long seed) {
		Random random = new Random(seed);
		PlatformForm.AnswerCut cut = switch (this.answers) {
			case "whole" -> () -> MOST_ROWS;
			case "any" -> () -> drawRows(random);
			default -> () -> Integer.parseInt(this.answers);
		};
		return new PlatformForm(new TableTroubles(CALL_MILLIS, cut, seed), new ReportForm(this.mostEnds, this.late),
				this.reportMillis, false);
	}

}
