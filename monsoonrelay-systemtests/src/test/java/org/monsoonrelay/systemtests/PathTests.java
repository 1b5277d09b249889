package org.monsoonrelay.systemtests;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.CallerAnswer;
import org.monsoonrelay.standin.CallerLoad;
import org.monsoonrelay.standin.CellLayout;
import org.monsoonrelay.standin.CellProcesses;

import static org.assertj.core.api.Assertions.assertThat;

class PathTests {

	private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

	@Test
	void textIsAppliedTasksRunOnceAndCallersAreAnswered(@TempDir Path folder) {
		try (CellProcesses cell = new CellProcesses(CellLayout.of(2, 2, 16, 6, "salon-desk"), ROOT, folder)) {
			cell.startAll(5);
			CellProcesses.CommandResult applied = cell.operate("apply", "--wait",
					ROOT.resolve("examples/pelo-fino.json").toString());
			assertThat(applied.exitCode()).as(applied.output()).isZero();
			Await.until("gateways are ready", cell::gatewaysReady);

			List<CallerAnswer> answers = new CallerLoad(cell.callerAddresses(), "salon-desk").send(200);
			Await.until("all tasks have run", () -> cell.taskCounts().finished() == 58);

			assertThat(answers).allMatch((answer) -> answer.kind() == CallerAnswer.Kind.ANSWERED);
			assertThat(cell.requestCounts().repeated().keySet()).noneMatch((name) -> name.startsWith("confirm"));
			assertThat(cell.taskCounts().overlapping()).isZero();
			assertThat(cell.taskCounts().finishedTwice()).isZero();
			assertThat(cell.taskCounts().overCommitted()).isZero();
		}
	}

}
