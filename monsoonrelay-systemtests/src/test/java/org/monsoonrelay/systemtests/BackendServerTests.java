package org.monsoonrelay.systemtests;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.BackendFault;
import org.monsoonrelay.standin.CallerAnswer;
import org.monsoonrelay.standin.CallerTally;
import org.monsoonrelay.standin.RequestCounts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Backend servers misbehave while callers ask. Runs are counted at the backend servers.
 */
class BackendServerTests {

	private static final BackendFault SILENT = new BackendFault(0, 0, 0, false, true, false, false);

	private static final BackendFault CUTS = new BackendFault(0, 3, 0, false, false, false, false);

	private static final BackendFault DROPS = new BackendFault(0, 0, 3, false, false, false, false);

	private static final BackendFault FROZEN = new BackendFault(0, 0, 0, true, false, false, false);

	private static final int REQUESTS = 200;

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private static Path folder;

	private static TestCell cell;

	@BeforeAll
	static void startCell() {
		cell = TestCell.start(folder, 10);
	}

	@AfterAll
	static void closeCell() {
		cell.close();
	}

	@AfterEach
	void mendBackendServers() {
		cell.processes().faults().allBackendServers(BackendFault.NONE);
	}

	@Test
	void connectionsGoneSilentLeaveLookupsAnsweredAndNewConnectionsWork() {
		cell.callers().send(REQUESTS);
		cell.processes().faults().backendServer("backend-2", SILENT);
		int before = cell.processes().requestCounts().runsAt("backend-2");

		assertLookupsAnsweredAndNothingDoubled(cell.callers().send(REQUESTS));

		Await.until("new connections to it work", () -> {
			cell.callers().send(REQUESTS / 4);
			return cell.processes().requestCounts().runsAt("backend-2") > before;
		});
	}

	@Test
	void cutAnswersNeverReachCallersAsWhole() {
		cell.processes().faults().allBackendServers(CUTS);

		List<CallerAnswer> answers = cell.callers().send(REQUESTS);

		assertLookupsAnsweredAndNothingDoubled(answers);
		assertThat(runsAndUnknown(answers)).isGreaterThan(REQUESTS);
	}

	@Test
	void connectionsDroppedAfterARequestRanDoubleNoConfirmation() {
		cell.processes().faults().allBackendServers(DROPS);

		List<CallerAnswer> answers = cell.callers().send(REQUESTS);

		assertLookupsAnsweredAndNothingDoubled(answers);
		assertThat(runsAndUnknown(answers)).isGreaterThan(REQUESTS);
	}

	@Test
	void lookupsAreAnsweredElsewhereWhileABackendServerIsFrozen() {
		cell.processes().faults().backendServer("backend-3", FROZEN);

		assertLookupsAnsweredAndNothingDoubled(cell.callers().send(REQUESTS));
	}

	@Test
	void aLeavingBackendServerGetsNoNewWorkAndLosesNone() {
		List<CallerAnswer> answers = cell.callers().sendDuring(() -> {
			cell.awaitSent(REQUESTS);
			cell.processes().faults().leaving("backend-1");
			Await.until("it gets no work while the others do", () -> isLeftOut("backend-1"));
		});

		CallerTally tally = cell.tally(answers);
		assertThat(tally.answered()).as(tally.toString()).isEqualTo(tally.requests());
		assertThat(tally.untrue() + tally.doubled()).as(tally.toString()).isZero();
	}

	private static boolean isLeftOut(String server) {
		RequestCounts before = cell.processes().requestCounts();
		cell.awaitSent(2 * REQUESTS);
		return before.runsAt(server) > 0 && cell.processes().requestCounts().runsAt(server) == before.runsAt(server);
	}

	private static int runsAndUnknown(List<CallerAnswer> answers) {
		RequestCounts counts = cell.processes().requestCounts();
		int runs = answers.stream().mapToInt((answer) -> counts.runs(answer.operation(), answer.name())).sum();
		return runs + cell.tally(answers).unknown();
	}

	private static void assertLookupsAnsweredAndNothingDoubled(List<CallerAnswer> answers) {
		TestCell.assertLookupsAnswered(answers);
		CallerTally tally = cell.tally(answers);
		assertThat(tally.lost() + tally.wrong()).as(tally.toString()).isZero();
		assertThat(tally.doubled() + tally.untrue()).as(tally.toString()).isZero();
	}

}
