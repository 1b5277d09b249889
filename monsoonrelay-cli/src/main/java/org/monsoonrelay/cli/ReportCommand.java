package org.monsoonrelay.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.text.CellTextParser;
import org.monsoonrelay.model.workload.CellText;
import org.monsoonrelay.model.workload.Target;
import org.monsoonrelay.model.workload.Workload;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Reports on the declared targets. A target that is not measured yet is reported as
 * unknown, never guessed.
 */
@Command(name = "report", mixinStandardHelpOptions = true,
		description = "Report each declared target: met, missed with its penalty, or unknown.")
final class ReportCommand implements Callable<Integer> {

	@Mixin
	private Connection connection;

	@Option(names = "--json", description = "Print JSON.")
	private boolean json;

	@Override
	public Integer call() {
		OperatorClient client = this.connection.client();
		CellText text = new CellTextParser().accepted(client.state().text());
		CellStatus status = client.status();
		List<Line> lines = new ArrayList<>();
		for (Workload workload : text.workloads()) {
			for (Target target : workload.targets()) {
				lines.add(new Line(workload.id().toString(), target.name(), Verdict.UNKNOWN, target.penaltyCents()));
			}
		}
		if (this.json) {
			System.out.println(Json.write(lines));
			return Program.OK;
		}
		System.out.println("version " + status.version());
		lines.forEach((line) -> System.out.println(line.workload() + " " + line.target() + ": " + line.verdict()
				+ " (penalty of a miss: " + line.penaltyCents() + " cents)"));
		return Program.OK;
	}

	private enum Verdict {

		UNKNOWN

	}

	private record Line(String workload, String target, Verdict verdict, long penaltyCents) {

	}

}
