package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.logic.pool.SimulatedWorkers.SimulatedWorker;
import org.monsoonrelay.model.submission.StepSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a second run of a task while a lease of a former owner is in force: an
 * owner is lost, suspended or superseded unnoticed while it still reaches some workers,
 * and a chain of successors follows that do not reach them. Before that, these workers
 * fall silent and return to the owner, around the write of the record that names them, in
 * part with a slow table, answers of the table and of starts that are lost, and slow
 * clocks of workers. By hand with more seeds:
 * {@code -Dleases.first=1 -Dleases.seeds=1000}.
 */
class FormerLeasesSeriesTests {

	private static final String NEAR = "near";

	private static final String FAR = "far";

	private static final int NEAR_WORKERS = 2;

	private static final int FAR_WORKERS = 4;

	private static final int SUCCESSORS = 4;

	private static final int MAX_FLAPS = 3;

	private static final int USUAL_WRITE_MILLIS = 5;

	private static final int SLOW_WRITE_MILLIS = 900;

	/** Longer than every lease, milliseconds. */
	private static final int TASK_MILLIS = 40_000;

	private static final long SETTLING_MILLIS = 14_000;

	@TestFactory
	List<DynamicTest> noTaskRunsInTwoPlaces() {
		long first = Long.getLong("leases.first", 1);
		return LongStream.range(first, first + Long.getLong("leases.seeds", 20))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new Play(seed).run()))
			.toList();
	}

	private static final class Play {

		private final Random random;

		private final SimulatedCell cell = new SimulatedCell().withRunMillis(TASK_MILLIS);

		private final List<SimulatedWorker> near = new ArrayList<>();

		private final List<String> events = new ArrayList<>();

		private final Set<SimulatedCell.Scheduler> lost = new HashSet<>();

		private int jobs;

		Play(long seed) {
			this.random = new Random(seed);
			this.cell.workers.setTellingStarts(this.random.nextInt(4) > 0);
			for (int i = 0; i < NEAR_WORKERS; i++) {
				this.near.add(addWorker(NEAR + i, NEAR));
			}
			for (int i = 0; i < FAR_WORKERS; i++) {
				addWorker(FAR + i, FAR);
			}
		}

		private SimulatedWorker addWorker(String id, String domain) {
			SimulatedWorker worker = this.cell.workers.add(id, SimulatedCell.CAPACITY, domain);
			worker.setClockRate((this.random.nextInt(3) > 0) ? WorkerLease.MIN_CLOCK_RATE : 1);
			return worker;
		}

		void run() {
			SimulatedCell.Scheduler first = addOwner();
			for (int i = 0; i < SUCCESSORS; i++) {
				addSuccessor();
			}
			this.cell.time.runFor(1000);
			submit(this.random.nextBoolean());
			this.cell.time.runFor(this.random.nextInt(1500));
			for (int i = this.random.nextInt(MAX_FLAPS + 1); i > 0; i--) {
				flap(first);
			}
			if (this.random.nextInt(3) == 0) {
				loseStart(first);
			}
			lose(first);
			for (int i = this.random.nextInt(3); i > 0; i--) {
				submit(this.random.nextBoolean());
			}
			if (this.random.nextInt(3) == 0) {
				removeNearWorkersFromList();
			}
			for (int i = this.random.nextInt(SUCCESSORS); i > 0; i--) {
				this.cell.time.runFor(this.random.nextInt(7000));
				successor().ifPresent(this::loseAboutWhenNearWorkersReturn);
			}
			this.cell.time.runFor(SETTLING_MILLIS);
			heal();
			this.cell.time.runFor(SETTLING_MILLIS);
			assertThat(this.cell.workers.violations()).as(() -> String.join("\n", this.events)).isEmpty();
		}

		private SimulatedCell.Scheduler addOwner() {
			SimulatedCell.Scheduler first = this.cell.addScheduler();
			first.workerClient.setDisconnectedFrom(FAR, this.random.nextInt(4) > 0);
			this.cell.time.runFor(500);
			return first;
		}

		private void addSuccessor() {
			SimulatedCell.Scheduler successor = this.cell.addScheduler();
			successor.workerClient.setDisconnectedFrom(NEAR, this.random.nextInt(8) > 0);
			if (this.random.nextInt(4) == 0) {
				successor.workerClient.disconnect(FAR + this.random.nextInt(FAR_WORKERS));
			}
			this.cell.time.runFor(100);
		}

		private void loseAboutWhenNearWorkersReturn(SimulatedCell.Scheduler successor) {
			if (this.random.nextBoolean()) {
				schedule("near workers return", this.random.nextInt(1500),
						() -> successor.workerClient.setDisconnectedFrom(NEAR, false));
			}
			if (this.random.nextBoolean()) {
				submit(this.random.nextBoolean());
			}
			this.cell.time.runFor(this.random.nextInt(1000));
			lose(successor);
		}

		private Optional<SimulatedCell.Scheduler> successor() {
			return this.cell.schedulers.stream()
				.skip(1)
				.filter((scheduler) -> scheduler.owner().isPresent() && !this.lost.contains(scheduler))
				.findFirst();
		}

		private void tell(String event) {
			this.events.add(this.cell.time.millis() + " " + event);
		}

		private void submit(boolean isLongRunning) {
			String job = "job" + this.jobs++;
			tell(job + (isLongRunning ? ", long-running" : ""));
			this.cell.submit(job, new StepSpec(1 + this.random.nextInt(2), SimulatedCell.TASK, SimulatedCell.RUN_MILLIS,
					List.of(), false, false, "", "", 0, false, false, isLongRunning, false));
		}

		// Lets workers fall silent and return, mostly until about their return.
		private void flap(SimulatedCell.Scheduler owner) {
			troubleTable(owner);
			int silentMillis = 100 + this.random.nextInt(this.random.nextBoolean() ? 1500 : 7500);
			for (SimulatedWorker worker : this.near) {
				if (this.random.nextInt(3) > 0) {
					schedule("silent " + worker.id(), this.random.nextInt(100),
							() -> owner.workerClient.disconnect(worker.id()));
					schedule("back " + worker.id(), silentMillis + this.random.nextInt(400),
							() -> owner.workerClient.reconnect(worker.id()));
				}
			}
			if (this.random.nextBoolean()) {
				schedule("start", this.random.nextInt(100), () -> submit(this.random.nextBoolean()));
				loseStartAnswers();
			}
			this.cell.time.runFor(Math.max(1, silentMillis - 700 + this.random.nextInt(1400)));
		}

		// Leaves a start unanswered until about when the record names its worker.
		private void loseStart(SimulatedCell.Scheduler owner) {
			tell("a start unanswered");
			this.near.forEach((worker) -> worker.setLosesStartResponses(true));
			submit(true);
			this.cell.time.runFor(this.random.nextInt(60));
			for (SimulatedWorker worker : this.near) {
				owner.workerClient.disconnect(worker.id());
				schedule("back " + worker.id(), 300 + this.random.nextInt(1000),
						() -> owner.workerClient.reconnect(worker.id()));
			}
			this.cell.time.runFor(400 + this.random.nextInt(600));
		}

		private void removeNearWorkersFromList() {
			tell("near workers not listed");
			this.near.forEach(SimulatedWorker::removeFromList);
			schedule("near workers listed", this.random.nextInt(9000),
					() -> this.near.forEach(SimulatedWorker::addToList));
		}

		private void loseStartAnswers() {
			if (this.random.nextBoolean()) {
				tell("starts unanswered");
				this.near.forEach((worker) -> worker.setLosesStartResponses(true));
				schedule("starts answered", this.random.nextInt(3000),
						() -> this.near.forEach((worker) -> worker.setLosesStartResponses(false)));
			}
		}

		private void troubleTable(SimulatedCell.Scheduler owner) {
			switch (this.random.nextInt(5)) {
				case 0 -> owner.tableClient.setWriteLatency(SLOW_WRITE_MILLIS);
				case 1 -> owner.tableClient.setWriteLatency(this.random.nextInt(SLOW_WRITE_MILLIS));
				case 2 -> {
					this.cell.table.setDropsAnswers(true);
					schedule("table answers", this.random.nextInt(4000), () -> this.cell.table.setDropsAnswers(false));
				}
				default -> owner.tableClient.setWriteLatency(USUAL_WRITE_MILLIS);
			}
		}

		private void schedule(String event, int millis, Runnable action) {
			this.cell.time.schedule((Runnable) () -> {
				tell(event);
				action.run();
			}, millis, TimeUnit.MILLISECONDS);
		}

		private void lose(SimulatedCell.Scheduler owner) {
			String name = "s" + this.cell.schedulers.indexOf(owner);
			this.lost.add(owner);
			switch (this.random.nextInt(6)) {
				case 0 -> {
					tell(name + " killed");
					owner.kill();
				}
				case 1 -> {
					tell(name + " suspended");
					owner.process.suspend();
					schedule(name + " goes on", this.random.nextInt(12_000), owner.process::resume);
				}
				case 2 -> {
					tell(name + " with late writes");
					owner.muteToPeers();
					owner.tableClient.setWriteDelay(1 + this.random.nextInt(5000));
				}
				default -> {
					tell(name + " cut off");
					owner.muteToPeers();
					owner.tableClient.setDisconnected(true);
				}
			}
		}

		private void heal() {
			tell("all is well");
			this.near.forEach((worker) -> worker.setLosesStartResponses(false));
			this.cell.table.setDropsAnswers(false);
			for (SimulatedCell.Scheduler scheduler : this.cell.schedulers) {
				scheduler.process.resume();
				scheduler.tableClient.setDisconnected(false);
				scheduler.tableClient.setWriteDelay(0);
				scheduler.tableClient.setWriteLatency(USUAL_WRITE_MILLIS);
				scheduler.workerClient.setDisconnectedFrom(NEAR, false);
				scheduler.workerClient.setDisconnectedFrom(FAR, false);
				for (int i = 0; i < FAR_WORKERS; i++) {
					scheduler.workerClient.reconnect(FAR + i);
				}
			}
		}

	}

}
