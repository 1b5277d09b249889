package org.monsoonrelay.systemtests;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.BackendFault;
import org.monsoonrelay.standin.CallerAnswer;
import org.monsoonrelay.standin.CallerTally;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * SIGTERM drains a process under load.
 */
class PlannedStopTests {

	private static final BackendFault FROZEN = new BackendFault(0, 0, 0, true, false, false, false);

	private static final int SERVICE_MILLIS = 60;

	private static final int SOME = 200;

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private Path folder;

	@Test
	void aGatewayCutsNothingInFlightAndRefusesTheRest() {
		try (TestCell cell = TestCell.start(this.folder, SERVICE_MILLIS)) {
			List<CallerAnswer> answers = cell.callers().sendDuring(() -> {
				cell.awaitSent(SOME);
				cell.processes().terminate("gateway-1");
				assertThat(cell.processes().exitCode("gateway-1")).isZero();
				cell.awaitSent(SOME);
			});

			CallerTally tally = cell.tally(answers);
			assertThat(tally.lost()).as(tally.toString()).isZero();
			assertThat(tally.unknown()).as(tally.toString()).isZero();
			assertThat(tally.wrong() + tally.untrue() + tally.doubled()).as(tally.toString()).isZero();
			assertThat(tally.notRun()).as(tally.toString()).isPositive();
		}
	}

	@Test
	void aSecondSignalEndsAGatewayAtOnce() {
		try (TestCell cell = TestCell.start(this.folder, SERVICE_MILLIS)) {
			cell.processes().faults().allBackendServers(FROZEN);

			cell.callers().sendDuring(() -> {
				cell.awaitSent(32);
				cell.processes().terminate("gateway-1");
				Await.until("it drains", () -> cell.processes().log("gateway-1").contains("stopping"));
				cell.processes().terminate("gateway-1");
				assertThat(cell.processes().exitCode("gateway-1")).isEqualTo(1);
				cell.processes().faults().allBackendServers(BackendFault.NONE);
			});
		}
	}

	@Test
	void aSchedulerHandsItsQueuesOver() {
		try (TestCell cell = TestCell.startWithLongSessions(this.folder, TestCell.run("roster", "salons", 40, true))) {
			cell.awaitStarted(TestCell.WAVE);
			String owner = cell.queueOwner("salons");

			cell.processes().terminate(owner);

			assertThat(cell.processes().exitCode(owner)).isZero();
			Await.until("another owns the queue", () -> !cell.queueOwner("salons").equals(owner));
			cell.awaitFinished("roster", 40);
			cell.assertNoTaskRanTwice();
		}
	}

}
