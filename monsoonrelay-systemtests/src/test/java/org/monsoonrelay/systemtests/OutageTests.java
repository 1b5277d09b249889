package org.monsoonrelay.systemtests;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.logic.queue.WaitReason;
import org.monsoonrelay.standin.CallerAnswer;
import org.monsoonrelay.standin.PlatformFault;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The platform is down, or its answers are lost, while tasks run and requests flow.
 */
class OutageTests {

	private static final PlatformFault DOWN = new PlatformFault(true, 0, 0, false, false);

	private static final PlatformFault LOSES_ANSWERS = new PlatformFault(false, 0, 12, false, false);

	private static final int TASKS = 40;

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private Path folder;

	@Test
	void workGoesOnWhileThePlatformIsDownAndWhatMustRunOnceWaitsForIt() {
		try (TestCell cell = TestCell.start(this.folder, 5, TestCell.run("roster", "salons", TASKS, true),
				TestCell.run("mailing", "office", TASKS, false))) {
			cell.awaitStarted(2 * TestCell.WAVE);

			cell.processes().faults().platform(DOWN);
			List<CallerAnswer> answers = cell.callers().send(200);
			cell.awaitFinished("mailing", TASKS);
			cell.awaitWaiting("roster", WaitReason.PLATFORM_UNAVAILABLE);
			assertThat(cell.finishedOf("roster")).isLessThan(TASKS);
			cell.processes().faults().platform(PlatformFault.NONE);

			cell.awaitFinished("roster", TASKS);
			cell.assertNoTaskRanTwice();
			TestCell.assertLookupsAnswered(answers);
		}
	}

	@Test
	void answersLostAfterTheWriteTookEffectDoubleNothing() {
		try (TestCell cell = TestCell.start(this.folder, 5)) {
			cell.processes().faults().platform(LOSES_ANSWERS);

			cell.apply(TestCell.run("roster", "salons", TASKS, true), TestCell.run("wages", "office", TASKS, true));

			cell.awaitFinished("roster", TASKS);
			cell.awaitFinished("wages", TASKS);
			cell.assertNoTaskRanTwice();
		}
	}

}
