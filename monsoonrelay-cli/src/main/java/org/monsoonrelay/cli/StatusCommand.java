package org.monsoonrelay.cli;

import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.queue.JobStatus;
import org.monsoonrelay.logic.queue.WaitReason;
import org.monsoonrelay.model.job.TaskRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Shows what runs, waits and has ended.
 */
@Command(name = "status", mixinStandardHelpOptions = true,
		description = "Show services, batch runs and jobs, with the reason of each wait.")
final class StatusCommand implements Callable<Integer> {

	@Mixin
	private Connection connection;

	@Parameters(arity = "0..1", paramLabel = "NAME", description = "Show the tasks of this workload only.")
	private String name;

	@Option(names = "--json", description = "Print JSON.")
	private boolean json;

	@Override
	public Integer call() {
		CellStatus status = this.connection.client().status();
		if (this.json) {
			System.out.println(Json.write(status));
			return Program.OK;
		}
		System.out.println("version " + status.version() + ", text of version " + status.textVersion());
		status.missing().forEach((address) -> System.out.println("no word from " + address));
		status.jobs()
			.stream()
			.filter((job) -> this.name == null || job.id().name().equals(this.name))
			.forEach(this::print);
		return Program.OK;
	}

	private void print(JobStatus job) {
		String wait = (job.waitReason() != WaitReason.NONE) ? " waits: " + job.waitReason() : "";
		System.out.println(job.kind() + " " + job.id() + " team=" + job.team() + " " + job.counts() + wait);
		if (this.name != null) {
			job.tasks().forEach(StatusCommand::print);
		}
	}

	private static void print(TaskRecord task) {
		String worker = task.worker().isEmpty() ? "" : " on " + task.worker();
		System.out.println("  task " + task.task() + " " + task.state() + worker + " failures=" + task.failures());
	}

}
