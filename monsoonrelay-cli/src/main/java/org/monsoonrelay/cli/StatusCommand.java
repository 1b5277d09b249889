package org.monsoonrelay.cli;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.logic.queue.JobStatus;
import org.monsoonrelay.logic.queue.WaitReason;
import org.monsoonrelay.logic.text.CellTextParser;
import org.monsoonrelay.model.job.TaskRecord;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Shows what runs, waits and has ended.
 */
@Command(name = "status", mixinStandardHelpOptions = true,
		description = "Show services, batch runs and jobs, with the reason of each wait.", footer = { "", "Examples:",
				"  monsoonrelay status", "  monsoonrelay status --kind batch", "  monsoonrelay status roster" })
final class StatusCommand implements Callable<Integer> {

	@Mixin
	private Connection connection;

	@Mixin
	private Output output;

	@Parameters(arity = "0..1", paramLabel = "NAME", description = "Show the tasks of this workload only.")
	private String name;

	@Option(names = "--kind", paramLabel = "KIND",
			description = "Only workloads of this kind: ${COMPLETION-CANDIDATES}.")
	private WorkloadKind kind;

	@Override
	public Integer call() {
		OperatorClient client = this.connection.client();
		List<Workload> declared = declared(client);
		if (this.name != null && declared.isEmpty()) {
			throw new CommandFailure(Program.FAILED, "'" + this.name + "' is not declared in the text in force");
		}
		CellStatus status = client.status();
		if (this.output.isJson()) {
			this.output.json(status);
			return Program.OK;
		}
		this.output.line("version " + status.version() + ", text of version " + status.textVersion());
		status.missing().forEach((address) -> this.output.notice("no word from " + address));
		Map<String, JobStatus> told = status.jobs()
			.stream()
			.collect(Collectors.toMap((job) -> job.id().toString(), Function.identity(), (first, second) -> first,
					TreeMap::new));
		declared.forEach((workload) -> print(workload, told.get(workload.id().toString())));
		return Program.OK;
	}

	private List<Workload> declared(OperatorClient client) {
		return new CellTextParser().parseAccepted(client.state().text())
			.workloads()
			.stream()
			.filter((workload) -> this.name == null || workload.id().name().equals(this.name))
			.filter((workload) -> this.kind == null || workload.kind() == this.kind)
			.toList();
	}

	private void print(Workload workload, JobStatus job) {
		String label = workload.kind() + " " + workload.id() + " team=" + workload.team() + " ";
		if (job == null) {
			this.output.line(label + "unknown: no owner of the team's queue has told");
			return;
		}
		String wait = (job.waitReason() != WaitReason.NONE) ? " waits: " + sentence(job.waitReason()) : "";
		this.output.line(label + new TreeMap<>(job.counts()) + wait);
		if (this.name != null) {
			job.tasks().forEach((task) -> print(task, job.waitReason()));
		}
	}

	private void print(TaskRecord task, WaitReason reason) {
		String worker = task.worker().isEmpty() ? "" : " on " + task.worker();
		boolean waits = !task.state().isFinal() && !task.state().mayBeRunning() && reason != WaitReason.NONE;
		this.output.line("  task " + task.task() + " " + task.state() + worker + " failures=" + task.failures()
				+ (waits ? " waits: " + sentence(reason) : ""));
	}

	private static String sentence(WaitReason reason) {
		return reason.name().toLowerCase(Locale.ROOT).replace('_', ' ');
	}

}
