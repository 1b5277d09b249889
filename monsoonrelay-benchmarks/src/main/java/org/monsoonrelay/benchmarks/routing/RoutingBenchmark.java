package org.monsoonrelay.benchmarks.routing;

import java.time.Duration;
import java.util.List;
import java.util.Locale;

import org.monsoonrelay.logic.routing.LeastExpectedLoadSelector;
import org.monsoonrelay.logic.routing.RefusalBackoff;

/**
 * Compares ways to choose a backend server with one central queue, in a seeded model of
 * today's cell around the real routers, and checks the shipped way against bounds. With
 * the argument {@code all} it prints the other ways too, which takes minutes. Stateless.
 */
public final class RoutingBenchmark {

	private static final RefusalBackoff FIXED = fixed(5);

	private static final RefusalBackoff NONE = fixed(0);

	private static final ChoiceTrial SHIPPED = new ChoiceTrial("least expected load", RefusalBackoff.DEFAULT,
			LeastExpectedLoadSelector::new);

	private static final List<ChoiceTrial> OTHERS = List.of(
			new ChoiceTrial("least expected, pause 2 ms", fixed(2), LeastExpectedLoadSelector::new),
			new ChoiceTrial("least in flight, pause 5 ms", FIXED, LeastInFlightChoice::new),
			new ChoiceTrial("least in flight, no pause", NONE, LeastInFlightChoice::new),
			new ChoiceTrial("two random choices", NONE, TwoRandomChoice::new),
			new ChoiceTrial("random", NONE, RandomChoice::new),
			new ChoiceTrial("subsets of nine in turn", NONE, (random) -> new SubsetChoice(9, random)));

	private static final double[] LOADS = { 0.6, 0.9, 1.2 };

	private static final int SECONDS = 6;

	/** Shorter, since every request is refused many times in most of the other ways. */
	private static final int OVERLOAD_SECONDS = 3;

	private static final long SEED = 42;

	private static final Duration TURNAROUND = Duration.ofMillis(1);

	private static final double WAITING_BOUND = 2.0;

	private static final double REFUSALS_BOUND = 0.5;

	private static final double OVERLOAD_REFUSALS_BOUND = 1.5;

	private RoutingBenchmark() {
	}

	/**
	 * Run the comparison; exits with 1 if a bound is passed.
	 * @param arguments {@code all} for the other ways too
	 */
	public static void main(String[] arguments) {
		if (List.of(arguments).contains("all")) {
			printAll();
		}
		System.exit(checkBounds() ? 0 : 1);
	}

	private static RefusalBackoff fixed(int millis) {
		return new RefusalBackoff(Duration.ofMillis(millis), Duration.ofMillis(millis), 1, 1);
	}

	private static void printAll() {
		for (double load : LOADS) {
			int seconds = (load > 1) ? OVERLOAD_SECONDS : SECONDS;
			for (boolean skewed : new boolean[] { false, true }) {
				ModelCell cell = ModelCell.today(skewed, seconds, SEED);
				ModelTraffic traffic = ModelTraffic.desk(load);
				print(load, skewed, "central queue, no way", new CentralQueue(cell, traffic, Duration.ZERO).run());
				print(load, skewed, "central queue, 1 ms", new CentralQueue(cell, traffic, TURNAROUND).run());
				print(load, skewed, SHIPPED.name(), SHIPPED.run(cell, traffic));
				OTHERS.forEach((trial) -> print(load, skewed, trial.name(), trial.run(cell, traffic)));
			}
		}
	}

	private static void print(double load, boolean skewed, String name, ModelResult result) {
		System.out.printf(Locale.ROOT, "| %.0f%% | %s | %s | %.1f | %.1f | %.1f | %.2f | %.1f%% |%n", load * 100,
				skewed ? "skewed" : "even", name, result.waitingMillis(50), result.waitingMillis(99),
				result.waitingMillis(99.9), result.refusalsPerRequest(), result.notRunShare() * 100);
	}

	private static boolean checkBounds() {
		ModelTraffic busy = ModelTraffic.desk(0.9);
		boolean passed = true;
		for (boolean skewed : new boolean[] { false, true }) {
			String balancer = skewed ? "skewed" : "even";
			ModelCell cell = ModelCell.today(skewed, SECONDS, SEED);
			ModelResult limit = new CentralQueue(cell, busy, TURNAROUND).run();
			ModelResult result = SHIPPED.run(cell, busy);
			ModelResult overload = SHIPPED.run(cell, ModelTraffic.desk(1.2));
			passed &= check("waiting p99 at 90%, " + balancer + ", to central queue",
					result.waitingMillis(99) / limit.waitingMillis(99), WAITING_BOUND);
			passed &= check("refusals per request at 90%, " + balancer, result.refusalsPerRequest(), REFUSALS_BOUND);
			passed &= check("refusals per request at 120%, " + balancer, overload.refusalsPerRequest(),
					OVERLOAD_REFUSALS_BOUND);
		}
		return passed;
	}

	private static boolean check(String name, double figure, double bound) {
		boolean passed = figure <= bound;
		System.out.printf(Locale.ROOT, "%s: %.2f, bound %.2f: %s%n", name, figure, bound, passed ? "ok" : "REGRESSION");
		return passed;
	}

}
