package org.monsoonrelay.systemtests;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.CallerAnswer;
import org.monsoonrelay.standin.CallerTally;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A backend server leaves under load; only the host list says so.
 */
class LeavingBackendServerTests {

	private static final String LEAVING = "backend-1";

	private static final int SERVICE_MILLIS = 20;

	private static final int SOME = 200;

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private Path folder;

	@Test
	void getsNoWorkOnceTheListSaysSoAndNothingInFlightIsCut() {
		try (TestCell cell = TestCell.start(this.folder, SERVICE_MILLIS)) {
			List<CallerAnswer> answers = cell.callers().sendDuring(() -> {
				cell.awaitSent(SOME);
				assertThat(runs(cell)).isPositive();
				cell.processes().faults().leaving(LEAVING);
				Await.until("gateways have read the list", () -> getsNone(cell, SOME));
				assertThat(getsNone(cell, 5 * SOME)).as("no new work").isTrue();
				cell.processes().faults().remove(LEAVING);
				cell.awaitSent(SOME);
			});

			CallerTally tally = cell.tally(answers);
			assertThat(tally.notRun() + tally.lost() + tally.unknown()).as(tally.toString()).isZero();
			assertThat(tally.wrong() + tally.untrue() + tally.doubled()).as(tally.toString()).isZero();
		}
	}

	private static boolean getsNone(TestCell cell, int requests) {
		int before = runs(cell);
		cell.awaitSent(requests);
		return runs(cell) == before;
	}

	private static int runs(TestCell cell) {
		return cell.processes().requestCounts().runsAt(LEAVING);
	}

}
