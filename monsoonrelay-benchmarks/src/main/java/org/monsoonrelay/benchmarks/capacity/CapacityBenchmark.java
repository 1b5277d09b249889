package org.monsoonrelay.benchmarks.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;

/**
 * Measures the slopes of all roles and works out their cost at the size designed for.
 * Ends with 1 if a figure is over its regression bound.
 */
public final class CapacityBenchmark {

	private static final Duration SETTLE = Duration.ofSeconds(3);

	private CapacityBenchmark() {
	}

	/**
	 * Run the measurements.
	 * @param arguments the project's root, {@code .} if missing, and for how many seconds
	 * each cell runs before it is measured
	 * @throws IOException if a test cell's files cannot be written
	 */
	public static void main(String[] arguments) throws IOException {
		Path root = Path.of((arguments.length > 0) ? arguments[0] : ".").toAbsolutePath().normalize();
		Duration settle = (arguments.length > 1) ? Duration.ofSeconds(Long.parseLong(arguments[1])) : SETTLE;
		CapacityReport report = new CapacityReport(System.out);
		SlopeTable slopes = SlopeTable.measure(report);
		CellTable cells = CellTable.measure(report, root, settle);
		new RegressionChecks(slopes, cells).printTo(report);
		new DesignedCosts(slopes, cells).printTo(report);
		System.exit(report.end() ? 0 : 1);
	}

}
