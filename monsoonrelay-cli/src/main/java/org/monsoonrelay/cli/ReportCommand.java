package org.monsoonrelay.cli;

import java.time.InstantSource;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.cli.TargetVerdict.Verdict;
import org.monsoonrelay.logic.text.CellTextParser;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Reports on the declared targets. A target that is not measured is reported as unknown,
 * never guessed.
 */
@Command(name = "report", mixinStandardHelpOptions = true,
		description = "Report each declared target: met, missed with its penalty, or unknown.",
		footer = { "", "Example:", "  monsoonrelay report --json" })
final class ReportCommand implements Callable<Integer> {

	private final InstantSource clock;

	@Mixin
	private Connection connection;

	@Mixin
	private Output output;

	ReportCommand(InstantSource clock) {
		this.clock = clock;
	}

	@Override
	public Integer call() {
		OperatorClient client = this.connection.client();
		CellStatus status = client.status();
		List<TargetVerdict> verdicts = new TargetJudge(status, this.clock.instant())
			.judge(new CellTextParser().parseAccepted(client.state().text()));
		CellReport report = CellReport.of(status, verdicts);
		if (this.output.isJson()) {
			this.output.json(report);
		}
		else {
			print(report);
		}
		return Program.OK;
	}

	private void print(CellReport report) {
		this.output.line("version " + report.version());
		report.missing().forEach((address) -> this.output.notice("no word from " + address));
		report.targets().forEach((target) -> this.output.line(line(target)));
		this.output.line("penalties of missed targets: " + report.penaltyCents() + " cents");
		report.waitingTasks()
			.forEach((reason, tasks) -> this.output.line("waiting: " + tasks + " tasks (" + reason + ")"));
		this.output.line("packing: " + ((report.packedPercent() != null) ? String.format(Locale.ROOT,
				"%.1f%% of the processors of %d workers", report.packedPercent(), report.workers()) : "unknown"));
		this.output.line("waiting time, control cost: unknown here; see each process's metrics");
	}

	private static String line(TargetVerdict target) {
		String penalty = (target.verdict() == Verdict.MISSED) ? ", penalty " + target.penaltyCents() + " cents" : "";
		return target.workload() + " " + target.target() + ": " + target.verdict().name().toLowerCase(Locale.ROOT)
				+ penalty + " (" + target.detail() + ")";
	}

}
