package org.monsoonrelay.benchmarks.placement;

import java.io.PrintStream;

/**
 * Prints each figure with its bound and remembers whether one was missed. Not
 * thread-safe.
 */
final class Verdicts {

	private final PrintStream out;

	private boolean missed;

	Verdicts(PrintStream out) {
		this.out = out;
	}

	void atMost(String figure, double value, double bound) {
		tell(figure, value, "at most", bound, value <= bound);
	}

	void atLeast(String figure, double value, double bound) {
		tell(figure, value, "at least", bound, value >= bound);
	}

	private void tell(String figure, double value, String relation, double bound, boolean kept) {
		this.missed |= !kept;
		this.out.printf("%-70s %10.3f %s %8.3f %s%n", figure, value, relation, bound, kept ? "ok" : "REGRESSION");
	}

	boolean isMissed() {
		return this.missed;
	}

}
