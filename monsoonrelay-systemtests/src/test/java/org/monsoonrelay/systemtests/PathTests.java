package org.monsoonrelay.systemtests;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.monsoonrelay.logic.text.CellTextParser;
import org.monsoonrelay.model.workload.ServiceDeclaration;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.CallerAnswer;
import org.monsoonrelay.standin.CallerLoad;
import org.monsoonrelay.standin.CallerTally;
import org.monsoonrelay.standin.CellLayout;
import org.monsoonrelay.standin.CellProcesses;
import org.monsoonrelay.standin.CommandResult;

import static org.assertj.core.api.Assertions.assertThat;

class PathTests {

	private static final Path EXAMPLE = TestCell.ROOT.resolve("examples/pelo-fino.json");

	@Test
	void textIsAppliedTasksRunOnceAndCallersAreAnswered(@TempDir Path folder) throws IOException {
		ServiceDeclaration service = new CellTextParser().parseAccepted(Files.readString(EXAMPLE)).services().get(0);
		CellLayout layout = CellLayout.of(2, 2, 16, 6, service.name());
		try (CellProcesses cell = new CellProcesses(layout, TestCell.ROOT, folder)) {
			cell.startAll(5);
			CommandResult applied = cell.operate("apply", "--wait", EXAMPLE.toString());
			assertThat(applied.exitCode()).as(applied.output()).isZero();
			Await.until("gateways are ready", cell::gatewaysReady);

			List<CallerAnswer> answers = new CallerLoad(cell.callerAddresses(), service).send(200);
			Await.until("all tasks have run", () -> cell.taskCounts().finished() == 58);

			assertThat(answers).allMatch((answer) -> answer.kind() == CallerAnswer.Kind.ANSWERED);
			CallerTally tally = CallerTally.of(service, answers, cell.requestCounts());
			assertThat(tally.doubled()).isZero();
			assertThat(tally.untrue()).isZero();
			assertThat(cell.taskCounts().overlapping()).isZero();
			assertThat(cell.taskCounts().finishedTwice()).isZero();
			assertThat(cell.taskCounts().overCommitted()).isZero();
		}
	}

}
