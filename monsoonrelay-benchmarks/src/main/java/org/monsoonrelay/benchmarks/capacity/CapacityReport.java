package org.monsoonrelay.benchmarks.capacity;

import java.io.PrintStream;
import java.util.Locale;

/**
 * Prints figures with their bounds and verdicts. A figure over the bound of a regression
 * makes the run fail; a figure at the size designed for that is over what a node may
 * spend is told and does not. Not thread-safe.
 */
final class CapacityReport {

	private final PrintStream out;

	private int regressions;

	private int overBudget;

	CapacityReport(PrintStream out) {
		this.out = out;
	}

	/**
	 * Print a section's title.
	 * @param title the title
	 */
	void section(String title) {
		this.out.println();
		this.out.println("== " + title);
	}

	/**
	 * Print a measured slope.
	 * @param name what was measured
	 * @param unit its unit
	 * @param slope the slope
	 * @return the slope
	 */
	Slope slope(String name, String unit, Slope slope) {
		this.out.println("slope  " + name + " [" + unit + "]: " + slope);
		return slope;
	}

	/**
	 * Print a cell's sample.
	 * @param sample the sample
	 * @return the sample
	 */
	CellSample sample(CellSample sample) {
		this.out.println(CellTable.line(sample));
		return sample;
	}

	/**
	 * Hold a figure against the bound of a regression.
	 * @param name what the figure is
	 * @param figure the figure
	 * @param bound the most it may be
	 */
	void check(String name, double figure, double bound) {
		boolean holds = figure <= bound;
		this.regressions += holds ? 0 : 1;
		line("check ", name, figure, bound, holds ? "ok" : "REGRESSION");
	}

	/**
	 * Tell a figure at the size designed for beside what it may be.
	 * @param name what the figure is
	 * @param figure the figure
	 * @param bound the most it may be
	 */
	void atSize(String name, double figure, double bound) {
		boolean holds = figure <= bound;
		this.overBudget += holds ? 0 : 1;
		line("size  ", name, figure, bound, holds ? "within" : "OVER");
	}

	/**
	 * Print a line of plain text.
	 * @param text the text
	 */
	void line(String text) {
		this.out.println(text);
	}

	private void line(String kind, String name, double figure, double bound, String verdict) {
		this.out.println(
				String.format(Locale.ROOT, "%s %-64s figure=%.5g bound=%.5g %s", kind, name, figure, bound, verdict));
	}

	/**
	 * Print the summary.
	 * @return whether no figure is over the bound of a regression
	 */
	boolean end() {
		this.out.println();
		this.out
			.println("capacity: regressions=" + this.regressions + " figures_over_budget_at_size=" + this.overBudget);
		return this.regressions == 0;
	}

}
