package org.monsoonrelay.systemtests;

import java.nio.file.Path;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.CommandResult;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A scheduler dies or pauses while tasks run that must run once. Runs are counted at the
 * workers.
 */
class RecoveryTests {

	private static final int TASKS = 15;

	/** Longer than a session's lapse, so that tasks run while another takes over. */
	private static final int RUN_MILLIS = 5000;

	private static final String ROSTER = TestCell.run("roster", "salons", TASKS, true, RUN_MILLIS);

	private static final String WAGES = TestCell.run("wages", "office", TASKS, true, RUN_MILLIS);

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private Path folder;

	private void assertAllRanOnce(TestCell cell) {
		cell.awaitFinished("roster", TASKS);
		cell.awaitFinished("wages", TASKS);
		cell.assertNoTaskRanTwice();
	}

	@Nested
	class ASchedulerIsKilled {

		@Test
		void whileItsTasksRunAndTheSuccessorFinishesThemOnce() {
			try (TestCell cell = TestCell.start(RecoveryTests.this.folder, 5, ROSTER, WAGES)) {
				cell.awaitStarted(2 * TestCell.WAVE);
				String owner = cell.queueOwner("salons");

				cell.processes().kill(owner);

				assertThat(cell.finishedOf("roster")).isLessThan(TASKS);
				assertAllRanOnce(cell);
				assertThat(cell.queueOwner("salons")).isNotEqualTo(owner);
			}
		}

		@Test
		void rightAfterItAcceptedWorkAndNoneIsMissing() {
			try (TestCell cell = TestCell.start(RecoveryTests.this.folder, 5)) {
				String text = cell.file("next.json", TestCell.text(ROSTER, WAGES)).toString();

				CommandResult accepted = cell.processes().operateThrough(0, "apply", text);
				cell.processes().kill("scheduler-1");

				assertThat(accepted.exitCode()).as(accepted.output()).isZero();
				assertAllRanOnce(cell);
			}
		}

	}

	@Nested
	class ASchedulerIsPaused {

		@Test
		void pastItsLeaseAndGoesOnAfterTheSuccessorTookOver() {
			try (TestCell cell = TestCell.start(RecoveryTests.this.folder, 5, ROSTER, WAGES)) {
				cell.awaitStarted(2 * TestCell.WAVE);
				String owner = cell.queueOwner("salons");

				cell.processes().freeze(owner);
				Await.until("another owns the queue", () -> !cell.queueOwner("salons").equals(owner));
				cell.processes().thaw(owner);

				assertAllRanOnce(cell);
				assertThat(cell.queueOwner("salons")).isNotEqualTo(owner);
			}
		}

	}

}
