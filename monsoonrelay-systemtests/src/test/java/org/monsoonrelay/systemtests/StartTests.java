package org.monsoonrelay.systemtests;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.Calls;
import org.monsoonrelay.standin.CellLayout;
import org.monsoonrelay.standin.CellProcesses;
import org.monsoonrelay.standin.CommandResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What cannot work is refused with one clear line; what may work later is waited for.
 */
class StartTests {

	private static final int INVALID = 2;

	private static final int UNREACHABLE = 3;

	@TempDir
	private Path folder;

	private CellProcesses cell;

	@BeforeEach
	void createCell() {
		this.cell = new CellProcesses(CellLayout.of(1, 1, 1, 1, "salon-desk"), TestCell.ROOT, this.folder);
	}

	@AfterEach
	void closeCell() {
		this.cell.killAll();
		this.cell.close();
	}

	@Test
	void daemonsStartWithoutPlatformAndPeersAndAPortInUseStopsASecondOne() {
		this.cell.startGateway(0);
		this.cell.startScheduler(0);
		String gateway = this.cell.layout().gatewayAdmin(0).url();
		String scheduler = this.cell.layout().operators(0).url();

		Await.until("both run", () -> Calls.isOk(gateway + "/live") && Calls.isOk(scheduler + "/live"));

		assertThat(Calls.isOk(gateway + "/ready")).isFalse();
		assertThat(Calls.isOk(scheduler + "/ready")).isFalse();
		for (String program : new String[] { "gateway", "scheduler" }) {
			String settings = this.folder.resolve(program + "-1.json").toString();
			CommandResult second = this.cell.run(program, "--settings", settings);
			assertOneLine(second, 1, "cannot listen");
		}
		assertThat(this.cell.processes().values()).allMatch(Process::isAlive);
	}

	@ParameterizedTest
	@ValueSource(strings = { "gateway", "scheduler", "standin" })
	void wrongSettingsAreNamedInOneLine(String program) throws IOException {
		Path settings = Files.writeString(this.folder.resolve("wrong.json"), "{\"unheardOf\": 1}");

		assertOneLine(this.cell.run(program, "--settings", settings.toString()), INVALID, "unheardOf");
		assertOneLine(this.cell.run(program, "--settings", this.folder.resolve("none.json").toString()), INVALID,
				"none.json: cannot be read");
	}

	@Test
	void aBadTextAndUnreachableEntryHostsAreNamedInOneLine() throws IOException {
		Path bad = Files.writeString(this.folder.resolve("bad.json"), "{\"cell\": \"c\", \"teams\": 1}");
		Path good = Files.writeString(this.folder.resolve("good.json"), TestCell.text());

		assertOneLine(this.cell.operate("check", bad.toString()), INVALID, "/teams");
		assertOneLine(this.cell.operate("apply", bad.toString()), INVALID, "/teams");
		assertOneLine(this.cell.operate("apply", good.toString()), UNREACHABLE, "no entry host could serve");
	}

	private static void assertOneLine(CommandResult result, int exitCode, String part) {
		assertThat(result.exitCode()).as(result.output()).isEqualTo(exitCode);
		assertThat(result.output().strip().lines()).hasSize(1).allMatch((line) -> line.contains(part));
	}

}
