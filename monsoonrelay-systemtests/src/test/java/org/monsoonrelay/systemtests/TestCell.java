package org.monsoonrelay.systemtests;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.logic.queue.JobStatus;
import org.monsoonrelay.logic.queue.WaitReason;
import org.monsoonrelay.logic.text.CellTextParser;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.workload.ServiceDeclaration;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.CallerAnswer;
import org.monsoonrelay.standin.CallerLoad;
import org.monsoonrelay.standin.CallerTally;
import org.monsoonrelay.standin.CellLayout;
import org.monsoonrelay.standin.CellProcesses;
import org.monsoonrelay.standin.CommandResult;
import org.monsoonrelay.standin.CutRelay;
import org.monsoonrelay.standin.TaskCounts;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A cell of two gateways, two schedulers, 16 workers in two racks and six backend
 * servers, and the texts that tests apply to it. Not thread-safe.
 */
final class TestCell implements AutoCloseable {

	static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

	/** Tasks of a team that its quota lets run at once. */
	static final int WAVE = 10;

	private static final String TEXT = """
			{"cell": "test",
			 "teams": [
			  {"name": "salons", "quota": {"processors": 22, "memoryMiB": 100000, "accelerators": 0}, "weight": 1},
			  {"name": "office", "quota": {"processors": 20, "memoryMiB": 100000, "accelerators": 0}, "weight": 1}],
			 "services": [
			  {"name": "salon-desk", "team": "salons", "replicas": 2,
			   "size": {"processors": 1, "memoryMiB": 64, "accelerators": 0},
			   "operations": [
			    {"name": "lookup", "trafficClass": "desk", "repeatable": true, "deadlineMillis": 15000},
			    {"name": "confirm", "trafficClass": "app", "repeatable": false, "deadlineMillis": 3000}]}],
			 "batchRuns": [%s]}""";

	private final CellProcesses processes;

	private final Path folder;

	private final ServiceDeclaration service = new CellTextParser().parseAccepted(text()).services().get(0);

	private final CallerLoad callers;

	private CutRelay relay;

	private TestCell(Path folder) {
		this.folder = folder;
		this.processes = new CellProcesses(CellLayout.of(2, 2, 16, 6, this.service.name()), ROOT, folder);
		this.callers = new CallerLoad(this.processes.callerAddresses(), this.service);
	}

	static TestCell start(Path folder, int serviceMillis, String... runs) {
		return new TestCell(folder).start(serviceMillis, runs);
	}

	/** A cell where only a planned stop makes another scheduler take over in time. */
	static TestCell startWithLongSessions(Path folder, String... runs) {
		TestCell cell = new TestCell(folder);
		cell.processes.settings().setSessionLapse((int) TimeUnit.MINUTES.toMillis(5));
		return cell.start(5, runs);
	}

	/** A cell whose second entry host is in a failure domain that can be cut off. */
	static TestCell withRelay(Path folder) {
		TestCell cell = new TestCell(folder);
		cell.relay = cell.processes.settings().relayToPlatform(1);
		return cell;
	}

	CutRelay relay() {
		return this.relay;
	}

	TestCell start(int serviceMillis, String... runs) {
		try {
			this.processes.startAll(serviceMillis);
			apply(runs);
			Await.until("gateways are ready", this.processes::gatewaysReady);
			return this;
		}
		catch (RuntimeException | Error ex) {
			close();
			throw ex;
		}
	}

	/** A run whose tasks last long enough for several to run when a fault comes. */
	static String run(String name, String team, int tasks, boolean once) {
		return run(name, team, tasks, once, 600);
	}

	static String run(String name, String team, int tasks, boolean once, int runMillis) {
		return """
				{"name": "%s", "run": "1", "team": "%s", "tasks": %d, "runMillis": %d, "once": %b,
				 "size": {"processors": 2, "memoryMiB": 64, "accelerators": 0}}""".formatted(name, team, tasks,
				runMillis, once);
	}

	static String text(String... runs) {
		return TEXT.formatted(String.join(",", runs));
	}

	Path file(String name, String content) {
		try {
			return Files.writeString(this.folder.resolve(name), content);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	void apply(String... runs) {
		CommandResult applied = this.processes.operate("apply", "--wait", file("text.json", text(runs)).toString());
		assertThat(applied.exitCode()).as(applied.output()).isZero();
	}

	CellProcesses processes() {
		return this.processes;
	}

	CallerLoad callers() {
		return this.callers;
	}

	CallerTally tally(List<CallerAnswer> answers) {
		return CallerTally.of(this.service, answers, this.processes.requestCounts());
	}

	int finishedOf(String run) {
		return this.processes.taskCounts().finishedOf(new JobId(run, "1"));
	}

	String queueOwner(String team) {
		return this.processes.table().owner(TableKeys.QUEUES + team).orElseThrow();
	}

	void awaitSent(int more) {
		int before = this.callers.sent();
		Await.until(more + " more requests are sent", () -> this.callers.sent() >= before + more);
	}

	void awaitStarted(int tasks) {
		Await.until(tasks + " tasks have started", () -> this.processes.taskCounts().started() >= tasks);
	}

	void awaitFinished(String run, int tasks) {
		Await.until("the tasks of " + run + " have finished", () -> finishedOf(run) == tasks);
	}

	void awaitWaiting(String run, WaitReason reason) {
		Await.until(run + " waits for " + reason,
				() -> this.processes.status()
					.jobs()
					.stream()
					.filter((job) -> job.id().name().equals(run))
					.map(JobStatus::waitReason)
					.anyMatch(reason::equals));
	}

	void assertNoTaskRanTwice() {
		TaskCounts counts = this.processes.taskCounts();
		assertThat(counts.overlapping()).as("tasks that ran in two places").isZero();
		assertThat(counts.finishedTwice()).as("tasks that ended well twice").isZero();
		assertThat(counts.overCommitted()).as("starts without room").isZero();
	}

	/** Three of four requests are lookups. */
	static void assertLookupsAnswered(List<CallerAnswer> answers) {
		List<CallerAnswer> lookups = answers.stream().filter((answer) -> answer.operation().equals("lookup")).toList();
		assertThat(lookups).hasSize(answers.size() * 3 / 4);
		assertThat(lookups).filteredOn((answer) -> answer.kind() != CallerAnswer.Kind.ANSWERED).isEmpty();
	}

	@Override
	public void close() {
		this.processes.killAll();
		this.processes.close();
		if (this.relay != null) {
			this.relay.close();
		}
	}

}
