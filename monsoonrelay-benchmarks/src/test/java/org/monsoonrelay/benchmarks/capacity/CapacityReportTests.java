package org.monsoonrelay.benchmarks.capacity;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CapacityReportTests {

	private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

	private final CapacityReport report = new CapacityReport(new PrintStream(this.printed));

	@Test
	void failsOnAFigureOverItsRegressionBound() {
		this.report.check("bytes a rack", 54, 70);
		this.report.check("bytes a task", 201, 200);

		assertThat(this.report.end()).isFalse();
		assertThat(this.printed.toString()).containsPattern("bytes a rack .*ok")
			.containsPattern("bytes a task .*REGRESSION")
			.contains("regressions=1");
	}

	@Test
	void failsOnAFigureThatIsNotANumber() {
		this.report.check("bytes a rack", Double.NaN, 70);

		assertThat(this.report.end()).isFalse();
	}

	@Test
	void tellsAndDoesNotFailOnAFigureOverBudgetAtTheSizeDesignedFor() {
		this.report.atSize("bytes a second", 7_001, 7_000);

		assertThat(this.report.end()).isTrue();
		assertThat(this.printed.toString()).contains("OVER").contains("figures_over_budget_at_size=1");
	}

}
