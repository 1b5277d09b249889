package org.monsoonrelay.cli;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.operator.CellStatus;

/**
 * Waits until a version is in force on every process, telling on the way who is missing.
 * Not thread-safe.
 */
final class InForceWait {

	private static final Duration POLL = Duration.ofMillis(250);

	private static final Duration PROGRESS = Duration.ofSeconds(2);

	private final OperatorClient client;

	private final Output output;

	private final Pacer pacer;

	InForceWait(OperatorClient client, Output output, Pacer pacer) {
		this.client = client;
		this.output = output;
		this.pacer = pacer;
	}

	/**
	 * Wait.
	 * @param version the version
	 * @param limit how long at most
	 * @return the exit code
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	int until(long version, Duration limit) throws InterruptedException {
		long start = this.pacer.nanoTime();
		Duration nextProgress = PROGRESS;
		List<String> behind = behind(version);
		while (!behind.isEmpty()) {
			Duration waited = Duration.ofNanos(this.pacer.nanoTime() - start);
			if (waited.compareTo(limit) >= 0) {
				this.output.notice("version " + version + " is accepted but not in force yet on: " + join(behind));
				return Program.FAILED;
			}
			if (waited.compareTo(nextProgress) >= 0) {
				this.output.notice("waiting for " + waited.toSeconds() + " s; not in force yet on: " + join(behind));
				nextProgress = waited.plus(PROGRESS);
			}
			this.pacer.pause(POLL);
			behind = behind(version);
		}
		this.output.notice("version " + version + " is in force on all processes");
		return Program.OK;
	}

	private List<String> behind(long version) {
		CellStatus status = this.client.status();
		List<String> behind = new ArrayList<>();
		status.missing().forEach((address) -> behind.add(address + " (no word)"));
		status.processes()
			.stream()
			.filter((process) -> process.version() < version)
			.forEach((process) -> behind.add(process.address() + " (version " + process.version() + ")"));
		return behind;
	}

	private static String join(List<String> behind) {
		return String.join(", ", behind);
	}

}
