package org.monsoonrelay.benchmarks;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs all benchmarks one after the other, each in a process of its own, so that none
 * finds the heap or the compiled code of another. Ends with 1 if one of them failed.
 */
public final class BenchMain {

	private static final String PACKAGE = "org.monsoonrelay.benchmarks.";

	private static final List<String> BENCHMARKS = List.of("routing.RoutingBenchmark", "placement.PlacementBenchmark",
			"capacity.CapacityBenchmark");

	private static final List<String> JVM_OPTIONS = List.of("-XX:+UseSerialGC", "-Xmx1g");

	private BenchMain() {
	}

	/**
	 * Run the benchmarks.
	 * @param arguments the project's root, {@code .} if missing
	 * @throws IOException if a process cannot be started
	 * @throws InterruptedException if the wait for one is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		String root = (arguments.length > 0) ? arguments[0] : ".";
		List<String> failed = new ArrayList<>();
		for (String benchmark : BENCHMARKS) {
			if (!isPresent(benchmark)) {
				System.out.println("bench: " + benchmark + " is not there, not run");
				continue;
			}
			System.out.println("bench: " + benchmark);
			long begin = System.nanoTime();
			int exitCode = run(benchmark, root);
			System.out.printf("bench: %s ended with %d after %d s%n%n", benchmark, exitCode,
					(System.nanoTime() - begin) / 1_000_000_000);
			if (exitCode != 0) {
				failed.add(benchmark);
			}
		}
		System.out.println(failed.isEmpty() ? "bench: ok" : "bench: failed: " + String.join(", ", failed));
		System.exit(failed.isEmpty() ? 0 : 1);
	}

	private static boolean isPresent(String benchmark) {
		String resource = '/' + (PACKAGE + benchmark).replace('.', '/') + ".class";
		return BenchMain.class.getResource(resource) != null;
	}

	private static int run(String benchmark, String root) throws IOException, InterruptedException {
		List<String> command = new ArrayList<>();
		command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
		command.addAll(JVM_OPTIONS);
		command.addAll(List.of("-cp", System.getProperty("java.class.path"), PACKAGE + benchmark, root));
		Process process = new ProcessBuilder(command).inheritIO().start();
		Thread onKill = new Thread(process::destroy);
		Runtime.getRuntime().addShutdownHook(onKill);
		int exitCode = process.waitFor();
		Runtime.getRuntime().removeShutdownHook(onKill);
		return exitCode;
	}

}
