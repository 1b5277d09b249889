package org.monsoonrelay.systemtests;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.adapters.operator.ProcessStatus;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.CommandResult;
import org.monsoonrelay.standin.PlatformFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A version in force reaches every process and none goes back, whatever fails.
 */
class ConfigurationTests {

	private static final PlatformFault DOWN = new PlatformFault(true, 0, 0, false, false);

	private static final int CONFLICT = 4;

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private static Path folder;

	private static TestCell cell;

	@BeforeAll
	static void startCell() {
		cell = TestCell.start(folder, 5);
	}

	@AfterAll
	static void closeCell() {
		cell.close();
	}

	@Test
	void aGatewayRestartedDuringAnOutageTakesTheVersionFromItsPeers() {
		cell.apply(TestCell.run("mailing", "office", 1, false));
		long version = cell.processes().status().version();
		cell.processes().faults().platform(DOWN);
		String killed = processAt(gateway(0)).map(ProcessStatus::session).orElseThrow();
		cell.processes().kill("gateway-1");

		cell.processes().startGateway(0);

		// The killed process stays listed until its successor is heard of, and each
		// scheduler hears of it by itself.
		Await.until("the new process has the version in force", () -> isInForce(version, killed));
		Await.until("it serves callers during the outage", cell.processes()::gatewaysReady);
		cell.processes().faults().platform(PlatformFault.NONE);
		Await.until("gateways are ready", cell.processes()::gatewaysReady);
		Await.until("the version has not gone back", () -> isInForce(version, killed));
	}

	private static boolean isInForce(long version, String killed) {
		return processAt(gateway(0)).filter((process) -> !process.session().equals(killed))
			.filter((process) -> process.version() == version)
			.isPresent();
	}

	@Test
	void applyNamesTheProcessThatIsMissing() {
		String file = cell.file("wait.json", TestCell.text(TestCell.run("roster", "salons", 1, true))).toString();
		cell.processes().freeze("gateway-2");

		CommandResult applied = cell.processes().operate("apply", "--wait", "--timeout", "3", file);
		cell.processes().thaw("gateway-2");

		assertThat(applied.exitCode()).as(applied.output()).isEqualTo(1);
		assertThat(applied.output()).contains("not in force yet on: " + gateway(1));
		long version = cell.processes().status().version();
		Await.until("it catches up", () -> versionAt(gateway(1)) == version);
	}

	@Test
	void ofTwoOperatorsThatRaceOneWinsAndTheOtherIsToldWhoWon() {
		String present = Long.toString(cell.processes().status().textVersion());
		List<CompletableFuture<CommandResult>> edits = List.of(raceThrough(0, present), raceThrough(1, present));
		List<CommandResult> results = edits.stream().map(CompletableFuture::join).toList();

		assertThat(results).as(results.toString())
			.extracting(CommandResult::exitCode)
			.containsExactlyInAnyOrder(0, CONFLICT);
		assertThat(results).filteredOn((result) -> result.exitCode() == CONFLICT)
			.allMatch((result) -> result.output().contains("conflict: demo came first"));
	}

	private static CompletableFuture<CommandResult> raceThrough(int scheduler, String expected) {
		String run = TestCell.run("race-" + scheduler, "office", 1, false);
		String file = cell.file("race-" + scheduler + ".json", TestCell.text(run)).toString();
		return CompletableFuture
			.supplyAsync(() -> cell.processes().operateThrough(scheduler, "apply", "--expect-version", expected, file));
	}

	private static String gateway(int index) {
		return cell.processes().layout().gatewayPeer(index).toString();
	}

	private static Optional<ProcessStatus> processAt(String address) {
		return cell.processes()
			.status()
			.processes()
			.stream()
			.filter((process) -> process.address().equals(address))
			.findFirst();
	}

	private static long versionAt(String address) {
		return processAt(address).map(ProcessStatus::version).orElse(0L);
	}

}
