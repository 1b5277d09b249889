package org.monsoonrelay.systemtests;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.CallerAnswer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A failure domain is cut off from the platform while its workers, peers and callers can
 * still be reached.
 */
class PartitionTests {

	private static final int TASKS = 15;

	private static final int RUN_MILLIS = 5000;

	private static final List<String> OWNED = List.of(TableKeys.RACKS + "rack-1", TableKeys.RACKS + "rack-2",
			TableKeys.QUEUES + "salons", TableKeys.QUEUES + "office");

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	private Path folder;

	@Test
	void theOthersTakeOverAndNoTaskRunsTwiceThoughBothBelieveTheyOwnIt() {
		try (TestCell cell = TestCell.withRelay(this.folder)) {
			cell.start(5, TestCell.run("roster", "salons", TASKS, true, RUN_MILLIS),
					TestCell.run("wages", "office", TASKS, true, RUN_MILLIS));
			cell.awaitStarted(2 * TestCell.WAVE);

			cell.relay().cut();
			List<CallerAnswer> answers = cell.callers().send(200);
			Await.until("the first scheduler owns all", () -> OWNED.stream().allMatch((key) -> isOwned(cell, key)));
			cell.awaitFinished("roster", TASKS);
			cell.awaitFinished("wages", TASKS);
			cell.relay().heal();

			cell.apply(TestCell.run("mailing", "salons", TASKS, true));
			cell.awaitFinished("mailing", TASKS);
			cell.assertNoTaskRanTwice();
			assertThat(cell.finishedOf("roster") + cell.finishedOf("wages")).isEqualTo(2 * TASKS);
			TestCell.assertLookupsAnswered(answers);
		}
	}

	private static boolean isOwned(TestCell cell, String key) {
		return cell.processes().table().owner(key).filter("scheduler-1"::equals).isPresent();
	}

}
