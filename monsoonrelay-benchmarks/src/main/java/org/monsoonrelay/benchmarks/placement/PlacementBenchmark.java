package org.monsoonrelay.benchmarks.placement;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/**
 * Runs the benchmarks of placement and compares ratios within the run with their bounds,
 * so that the speed of the machine does not matter. Ends with 1 if a bound is missed.
 * Stateless.
 */
public final class PlacementBenchmark {

	private static final TimeValue ITERATION = TimeValue.milliseconds(700);

	private static final double PACKING_GAIN = 1.05;

	/**
	 * Thirty workers stand in four racks, among which weights have little to choose.
	 */
	private static final double PACKING_GAIN_OF_FOUR_RACKS = 0.97;

	private PlacementBenchmark() {
	}

	public static void main(String[] arguments) throws RunnerException {
		Verdicts verdicts = new Verdicts(System.out);
		decisions(System.out, verdicts);
		ownership(System.out, verdicts);
		day(System.out, verdicts, 30, PACKING_GAIN_OF_FOUR_RACKS);
		day(System.out, verdicts, 300, PACKING_GAIN);
		System.exit(verdicts.isMissed() ? 1 : 0);
	}

	private static void decisions(PrintStream out, Verdicts verdicts) throws RunnerException {
		Options options = new OptionsBuilder().include(DecisionBenchmark.class.getName())
			.forks(1)
			.warmupIterations(2)
			.warmupTime(ITERATION)
			.measurementIterations(3)
			.measurementTime(ITERATION)
			.jvmArgs("-Xmx512m")
			.verbosity(VerboseMode.SILENT)
			.build();
		Map<String, Double> micros = new HashMap<>();
		for (RunResult result : new Runner(options).run()) {
			String name = result.getPrimaryResult().getLabel() + " " + result.getParams().getParam("workers");
			micros.put(name, result.getPrimaryResult().getScore());
			out.printf("%-20s workers: %10.2f us a decision, +- %.2f%n", name, result.getPrimaryResult().getScore(),
					result.getPrimaryResult().getScoreError());
		}
		double small = micros.get("directory " + DecisionBenchmark.SMALL);
		double large = micros.get("directory " + DecisionBenchmark.LARGE);
		verdicts.atMost("decision at 10,000 workers against 30 workers", large / small, 20);
		for (String baseline : List.of("firstFit ", "randomFit ")) {
			verdicts.atMost("decision at 10,000 workers against " + baseline.trim(),
					large / micros.get(baseline + DecisionBenchmark.LARGE), 0.2);
		}
	}

	private static void ownership(PrintStream out, Verdicts verdicts) {
		OwnershipModel.compare(out, 6, 4, 20);
		Map<OwnershipDesign, OwnershipResult> results = OwnershipModel.compare(out, 54, 1250, 9200);
		OwnershipResult owned = results.get(OwnershipDesign.OWNER_A_RACK);
		verdicts.atLeast("model: tasks started of those offered, an owner a rack", owned.started() / owned.offered(),
				0.99);
		verdicts.atMost("model: rows written a second, an owner a rack, of the budget of 300",
				owned.rowsWritten() / 300, 0.5);
	}

	private static void day(PrintStream out, Verdicts verdicts, int workers, double packingGain) {
		List<DayResult> results = GeneratedDayBenchmark.run(workers);
		GeneratedDayBenchmark.print(out, workers, results);
		DayResult trust = results.get(0);
		DayResult peloFino = results.get(1);
		DayResult random = results.get(3);
		String cell = ", " + workers + " workers";
		verdicts.atLeast("packing, weights of Pelo Fino against the Trust" + cell,
				peloFino.usedShare() / trust.usedShare(), packingGain);
		verdicts.atMost("p99 waiting, weights of the Trust against Pelo Fino" + cell,
				trust.waitSeconds(99) / peloFino.waitSeconds(99), 1.0);
		verdicts.atLeast("packing, weights of the Trust against random fit" + cell,
				trust.usedShare() / random.usedShare(), 1.1);
		verdicts.atMost("p99 waiting of urgent tasks in seconds of the model, weights of the Trust" + cell,
				trust.waitSeconds(DayLabel.URGENT, 99), 4.1);
	}

}
