package org.monsoonrelay.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.text.CellTextParser;
import org.monsoonrelay.model.job.TaskState;
import org.monsoonrelay.model.workload.CellText;
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
		CellText text = new CellTextParser().accepted(Files.readString(this.root.resolve(this.example)));
		String service = text.services().get(0).name();
		Path folder = Files.createTempDirectory("monsoonrelay-demo");
		CellProcesses cell = new CellProcesses(CellLayout.of(2, 2, 16, 6, service), this.root, folder);
		Thread onKill = new Thread(cell::close);
		Runtime.getRuntime().addShutdownHook(onKill);
		try {
			cell.startAll(SERVICE_MILLIS);
			boolean isRight = run(cell, text, service);
			if (this.keep) {
				Runtime.getRuntime().removeShutdownHook(onKill);
				printProcesses(cell, folder);
				return Program.OK;
			}
			return isRight ? Program.OK : Program.FAILED;
		}
		finally {
			if (!this.keep) {
				cell.close();
			}
		}
	}

	private boolean run(CellProcesses cell, CellText text, String service) {
		CellProcesses.CommandResult applied = cell.operate("apply", "--wait",
				this.root.resolve(this.example).toString());
		System.out.print(applied.output());
		if (applied.exitCode() != Program.OK) {
			return false;
		}
		Await.until("gateways are ready", cell::gatewaysReady);
		List<CallerAnswer> answers = new CallerLoad(cell.callerAddresses(), service).send(REQUESTS);
		Await.until("all work has run", () -> isDone(cell));
		return report(cell, text, answers);
	}

	private static boolean isDone(CellProcesses cell) {
		CellProcesses.CommandResult result = cell.operate("status", "--json");
		if (result.exitCode() != Program.OK) {
			return false;
		}
		CellStatus status = Json.read(result.output(), CellStatus.class);
		return !status.jobs().isEmpty() && status.jobs().stream().allMatch((job) -> {
			TaskState wanted = (job.kind() != WorkloadKind.SERVICE) ? TaskState.FINISHED : TaskState.RUNNING;
			return job.counts().getOrDefault(wanted, 0) == job.declared();
		});
	}

	private static boolean report(CellProcesses cell, CellText text, List<CallerAnswer> answers) {
		RequestCounts requests = cell.requestCounts();
		TaskCounts tasks = cell.taskCounts();
		int answered = count(answers, CallerAnswer.Kind.ANSWERED);
		int notRun = count(answers, CallerAnswer.Kind.NOT_RUN);
		int unknown = count(answers, CallerAnswer.Kind.UNKNOWN);
		int lostRequests = answers.size() - answered - notRun - unknown;
		int declaredTasks = 0;
		int lostTasks = 0;
		for (Workload workload : text.workloads()) {
			if (workload.kind() != WorkloadKind.SERVICE) {
				int finished = tasks.finishedTasksByJob().getOrDefault(workload.id().toString(), 0);
				declaredTasks += workload.tasks();
				lostTasks += workload.tasks() - finished;
			}
		}
		long doubledConfirmations = requests.repeated()
			.keySet()
			.stream()
			.filter((name) -> !name.startsWith("lookup "))
			.count();
		long doubled = doubledConfirmations + tasks.overlapping() + tasks.finishedTwice();
		System.out.printf("demo: requests=%d answered=%d not_run=%d unknown=%d lost=%d doubled=%d tasks_run=%d%n",
				answers.size(), answered, notRun, unknown, lostRequests + lostTasks, doubled, tasks.finished());
		boolean requestsAreRight = answered == answers.size() && requests.runs() >= answered;
		boolean tasksAreRight = tasks.finished() == declaredTasks && tasks.overCommitted() == 0;
		return requestsAreRight && tasksAreRight && doubled == 0 && lostTasks == 0 && lostRequests == 0;
	}

	private static int count(List<CallerAnswer> answers, CallerAnswer.Kind kind) {
		return (int) answers.stream().filter((answer) -> answer.kind() == kind).count();
	}

	private static void printProcesses(CellProcesses cell, Path folder) {
		System.out.println("settings and logs: " + folder);
		System.out.println("callers: " + cell.callerAddresses());
		System.out.println("operators: " + cell.layout().operators(0) + ", " + cell.layout().operators(1)
				+ " credential: " + CellProcesses.OPERATOR_TOKEN);
		for (Map.Entry<String, Process> entry : cell.processes().entrySet()) {
			System.out.println(entry.getKey() + " pid=" + entry.getValue().pid());
		}
	}

}
