package org.monsoonrelay.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.logic.queue.JobStatus;
import org.monsoonrelay.logic.text.CellTextParser;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.CellText;
import org.monsoonrelay.model.workload.ServiceDeclaration;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs the main job against the stand-ins and counts what ran at the workers and backend
 * servers.
 */
@Command(name = "demo", mixinStandardHelpOptions = true,
		description = "Start a cell on loopback addresses, run an example on it and count what ran.")
final class DemoCommand implements Callable<Integer> {

	private static final int REQUESTS = 600;

	private static final int SERVICE_MILLIS = 5;

	@Option(names = "--root", defaultValue = ".", description = "Root of the project. Default: ${DEFAULT-VALUE}.")
	private Path root;

	@Option(names = "--example", defaultValue = "examples/pelo-fino.json",
			description = "The text to apply. Default: ${DEFAULT-VALUE}.")
	private Path example;

	@Option(names = "--keep", description = "Leave the processes up and print their addresses and pids.")
	private boolean keep;

	@Override
	public Integer call() throws IOException {
		CellText text = new CellTextParser().parseAccepted(Files.readString(this.root.resolve(this.example)));
		ServiceDeclaration service = text.services().get(0);
		Path folder = Files.createTempDirectory("monsoonrelay-demo");
		CellProcesses cell = new CellProcesses(CellLayout.of(2, 2, 16, 6, service.name()), this.root, folder);
		boolean started = false;
		try {
			cell.startAll(SERVICE_MILLIS);
			started = true;
			return run(cell, text, service) ? Program.OK : Program.FAILED;
		}
		finally {
			if (this.keep && started) {
				cell.keep();
				printProcesses(cell, folder);
			}
			else {
				cell.close();
			}
		}
	}

	private boolean run(CellProcesses cell, CellText text, ServiceDeclaration service) {
		CommandResult applied = cell.operate("apply", "--wait", this.root.resolve(this.example).toString());
		System.out.print(applied.output());
		if (applied.exitCode() != Program.OK) {
			return false;
		}
		Await.until("gateways are ready", cell::gatewaysReady);
		List<CallerAnswer> answers = new CallerLoad(cell.callerAddresses(), service).send(REQUESTS);
		Await.until("all work has run", () -> isDone(cell));
		return report(text, CallerTally.of(service, answers, cell.requestCounts()), cell.taskCounts());
	}

	private static boolean isDone(CellProcesses cell) {
		List<JobStatus> jobs = cell.status().jobs();
		return !jobs.isEmpty() && jobs.stream().allMatch((job) -> {
			TaskState wanted = (job.kind() != WorkloadKind.SERVICE) ? TaskState.FINISHED : TaskState.RUNNING;
			return job.counts().getOrDefault(wanted, 0) == job.declared();
		});
	}

	private static boolean report(CellText text, CallerTally callers, TaskCounts tasks) {
		int declared = 0;
		int lostTasks = 0;
		for (Workload workload : text.workloads()) {
			if (workload.kind() != WorkloadKind.SERVICE) {
				declared += workload.tasks();
				lostTasks += workload.tasks() - tasks.finishedOf(workload.id());
			}
		}
		int lost = callers.lost() + callers.wrong() + lostTasks;
		int doubled = callers.doubled() + tasks.overlapping() + tasks.finishedTwice();
		System.out.printf("demo: requests=%d answered=%d not_run=%d unknown=%d lost=%d doubled=%d tasks_run=%d%n",
				callers.requests(), callers.answered(), callers.notRun(), callers.unknown(), lost, doubled,
				tasks.finished());
		boolean requestsAreRight = callers.answered() == callers.requests() && callers.untrue() == 0;
		boolean tasksAreRight = tasks.finished() == declared && tasks.overCommitted() == 0;
		return requestsAreRight && tasksAreRight && doubled == 0 && lost == 0;
	}

	private static void printProcesses(CellProcesses cell, Path folder) {
		System.out.println("settings and logs: " + folder);
		System.out.println("callers: " + cell.callerAddresses());
		System.out.println("operators: " + cell.layout().operators(0) + ", " + cell.layout().operators(1)
				+ " credential: " + CellProcesses.OPERATOR_TOKEN);
		StringBuilder pids = new StringBuilder();
		for (Map.Entry<String, Process> entry : cell.processes().entrySet()) {
			System.out.println(entry.getKey() + " pid=" + entry.getValue().pid());
			pids.append(' ').append(entry.getValue().pid());
		}
		System.out.println("end them with: kill" + pids);
	}

}
