package org.monsoonrelay.benchmarks.placement;

import java.io.PrintStream;
import java.util.List;

import org.apache.commons.rng.simple.RandomSource;
import org.monsoonrelay.model.workload.PolicyWeights;

/**
 * Waiting and packing on one generated day, side by side: the product with each user's
 * weights, first fit and random fit. Stateless.
 */
final class GeneratedDayBenchmark {

	private static final long SEED = 20261202;

	private static final int PROCESSORS = 64;

	private static final long MEMORY_MIB = 128 * 1024;

	private static final PolicyWeights TRUST = new PolicyWeights(3, 1, 1);

	private static final PolicyWeights PELO_FINO = new PolicyWeights(1, 3, 1);

	private GeneratedDayBenchmark() {
	}

	static List<DayResult> run(int workers) {
		List<DayJob> jobs = GeneratedDay.of(SEED, workers, PROCESSORS);
		BenchmarkCell trust = new BenchmarkCell(workers, PROCESSORS, MEMORY_MIB);
		BenchmarkCell peloFino = new BenchmarkCell(workers, PROCESSORS, MEMORY_MIB);
		BenchmarkCell first = new BenchmarkCell(workers, PROCESSORS, MEMORY_MIB);
		BenchmarkCell random = new BenchmarkCell(workers, PROCESSORS, MEMORY_MIB);
		return List.of(new DayRun(trust, new DirectoryPlacer(trust, TRUST, SEED)).run("weights of the Trust", jobs),
				new DayRun(peloFino, new DirectoryPlacer(peloFino, PELO_FINO, SEED)).run("weights of Pelo Fino", jobs),
				new DayRun(first, new BaselinePlacer(first, new FirstFitPolicy())).run("first fit", jobs),
				new DayRun(random,
						new BaselinePlacer(random, new RandomFitPolicy(RandomSource.XO_RO_SHI_RO_128_PP.create(SEED))))
					.run("random fit", jobs));
	}

	static void print(PrintStream out, int workers, List<DayResult> results) {
		out.printf("generated day, %d workers (times of the model, seed %d)%n", workers, SEED);
		out.printf("%-22s %-13s %8s %8s %8s %6s %9s %9s%n", "placer", "kind", "p50 s", "p99 s", "packing", "empty",
				"left", "msg/task");
		for (DayResult result : results) {
			out.printf("%-22s %-13s %8.2f %8.2f %8.4f %6.2f %9d %9.3f%n", result.name(), "ALL", result.waitSeconds(50),
					result.waitSeconds(99), result.usedShare(), result.emptyWorkers(), result.left(),
					result.messagesATask());
			for (DayLabel label : DayLabel.values()) {
				out.printf("%-22s %-13s %8.2f %8.2f%n", "", label, result.waitSeconds(label, 50),
						result.waitSeconds(label, 99));
			}
			out.printf("%-22s refusals %d of %d placed, replicas of a service in one failure domain %.2f%n", "",
					result.refusals(), result.placed(), result.inOneDomain());
		}
	}

}
