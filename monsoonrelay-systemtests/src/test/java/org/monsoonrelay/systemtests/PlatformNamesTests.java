package org.monsoonrelay.systemtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The platform's names of calls and fields stand in its adapter and nowhere else in the
 * main code, so that a change of the platform is a change of one folder.
 */
class PlatformNamesTests {

	private static final List<String> NAMES = List.of("/api/", "run-start", "run-stop", "rows-tx", "rows-get",
			"rows-feed", "rows-parts", "blob-put", "blob-get", "machine-move", "machine-upkeep", "ack_cursor",
			"fencing_token", "expected_revision", "cold_remaining_ms", "depends_on", "wait_ms", "deadline_ms",
			"clock_ms", "allowed_workers", "decide_ms", "period_ms", "valid_ms", "mem_mb", "estimate_ms",
			"rack_sensitive", "data_rack", "max_per_server", "long_running", "path_prefix", "target_latency_ms",
			"slack_factor", "enforces_capacity", "remaining_ms", "repeat_count", "start_ms", "interval_ms",
			"frontend_address", "readiness_address", "internal_ports", "MONSOONRELAY_NODE_FILE",
			"X-Monsoonrelay-Expect-Instance", "X-Monsoonrelay-Lease-Holder", "X-Monsoonrelay-Fencing-Token");

	@Test
	void theMainCodeOutsideTheAdapterHasNoNameOfThePlatform() throws IOException {
		Path root = Path.of("").toAbsolutePath().getParent();
		List<String> found = new ArrayList<>();
		try (Stream<Path> modules = Files.list(root)) {
			modules.filter((module) -> module.getFileName().toString().startsWith("monsoonrelay-"))
				.forEach((module) -> scan(module.resolve("src/main/java"), found));
		}
		assertThat(found).isEmpty();
	}

	@Test
	void theAdapterItselfHasThem() {
		List<String> found = new ArrayList<>();
		scan(Path.of("").toAbsolutePath().getParent().resolve("platform/src/main/java"), found);
		assertThat(found).hasSizeGreaterThan(NAMES.size() / 2);
	}

	private static void scan(Path folder, List<String> found) {
		if (!Files.isDirectory(folder)) {
			return;
		}
		try (Stream<Path> files = Files.walk(folder)) {
			for (Path file : files.filter((path) -> path.toString().endsWith(".java")).toList()) {
				String text = Files.readString(file);
				NAMES.stream()
					.filter((name) -> text.contains('"' + name) || text.contains(name + '"'))
					.forEach((name) -> found.add(file.getFileName() + ": " + name));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
