package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.LongStream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against hosts that answer too low a number of waiting jobs: each host's answer
 * is compared with what the workers have executed, while messages and polls of hosts go
 * unanswered, feeds are slow, owners are lost or suspended and the table is disturbed,
 * overlapping in short series. By hand with more seeds:
 * {@code -Dcounts.first=1 -Dcounts.seeds=500}.
 */
class QueueCountSeriesTests {

	private static final System.Logger LOGGER = System.getLogger(QueueCountSeriesTests.class.getName());

	private static final String QUEUE = "confirm";

	private static final int GATEWAYS = 4;

	private static final int STEPS = 160;

	private static final int STEP_MILLIS = 250;

	/** Users expect half of the jobs to be counted that were accepted so long ago. */
	private static final long COUNTED_MILLIS = 5000;

	/** Users expect it of hosts that were undisturbed for so long, as was the table. */
	private static final long CALM_MILLIS = 3000;

	private static final int MAX_DISTURBANCE_MILLIS = 7000;

	/** Rows of an answer of the table at most. */
	private static final int FEED_ROWS = 500;

	/** A link of 7 Mbit/s, bytes in a millisecond. */
	private static final long THIN_LINK = 875;

	private static final double SMALL_HOST_PROCESSORS = 0.36;

	@TestFactory
	List<DynamicTest> noUndisturbedHostAnswersTooLowACount() {
		long first = Long.getLong("counts.first", 1);
		return LongStream.range(first, first + Long.getLong("counts.seeds", 20))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new Play(seed).run()))
			.toList();
	}

	private static final class Play {

		private final long seed;

		private final Random random;

		private final SimulatedCell cell = new SimulatedCell();

		private final InMemoryTable.Client callers = this.cell.table.client();

		private final Map<String, Long> acceptedMillis = new LinkedHashMap<>();

		private final Set<String> begunOrCancelled = new HashSet<>();

		private final List<String> notes = new ArrayList<>();

		private final List<String> tooLow = new ArrayList<>();

		private final Map<Object, Integer> ongoing = new LinkedHashMap<>();

		private final Map<Object, Long> calmFromMillis = new LinkedHashMap<>();

		private int decisionsNoted;

		private int submitted;

		private int perSecond;

		private int samples;

		private int refused;

		Play(long seed) {
			this.seed = seed;
			this.random = new Random(seed);
			int maxRunMillis = 300 + this.random.nextInt(4000);
			this.cell.withRunMillis((task) -> 100 + this.random.nextInt(maxRunMillis));
			this.cell.withWorkers(2 + this.random.nextInt(3));
			this.cell.workers.onStart((worker, task) -> this.begunOrCancelled.add(task.job()));
			for (int i = 0; i < GATEWAYS; i++) {
				SimulatedGateway gateway = new SimulatedGateway(this.cell);
				gateway.tableClient.setFeedRows(FEED_ROWS);
				this.cell.gateways.add(gateway);
			}
			this.cell.gateways.get(0).tableClient.setLinkRate(THIN_LINK);
		}

		void run() {
			this.cell.startOwnerAndStandby();
			this.cell.addScheduler();
			this.cell.addScheduler("first", SMALL_HOST_PROCESSORS);
			this.cell.time.runFor(3000);
			for (int step = 0; step < STEPS; step++) {
				if (this.random.nextInt(12) == 0) {
					this.perSecond = this.random.nextBoolean() ? 0 : this.random.nextInt(40);
				}
				registerStandbys();
				submit();
				if (this.random.nextInt(8) == 0) {
					disturb();
				}
				this.cell.time.runFor(STEP_MILLIS);
				noteOwners();
				this.cell.gateways.forEach(this::sample);
			}
			LOGGER.log(System.Logger.Level.INFO, "seed {0}: {1} calm samples, {2} too low, {3} refused", this.seed,
					this.samples, this.tooLow.size(), this.refused);
			assertThat(this.tooLow).as(() -> String.join("\n", this.notes)).isEmpty();
		}

		private void registerStandbys() {
			if (this.cell.hasOwner()) {
				SimulatedCell.Scheduler owner = this.cell.owner();
				owner.registerStandbys(this.cell.schedulers.stream()
					.filter((scheduler) -> scheduler != owner && !scheduler.isKilled())
					.toArray(SimulatedCell.Scheduler[]::new));
			}
		}

		private void submit() {
			for (int i = 0; i < STEP_MILLIS; i++) {
				if (this.random.nextInt(1000) < this.perSecond) {
					this.cell.time.schedule(this::submitOne, i, TimeUnit.MILLISECONDS);
				}
			}
		}

		private void submitOne() {
			String id = "job%04d".formatted(this.submitted++);
			SimulatedGateway gateway = anyGateway();
			Submission submission = new Submission(id, this.cell.policy(3), "text",
					List.of(SimulatedCell.step(1, false)), Timetable.AT_ONCE, this.cell.time.millis());
			this.callers
				.commit(PartitionWrite.to(JobTables.partition(id))
					.onVersion(JobTables.JOBS, id, 0)
					.put(JobTables.JOBS, id, Json.write(submission)))
				.thenAccept((commit) -> {
					if (commit instanceof PartitionCommit.Committed committed) {
						this.acceptedMillis.put(id, this.cell.time.millis());
						gateway.announce(submission, committed.version());
					}
				});
			if (this.random.nextInt(30) == 0) {
				this.cell.time.schedule(() -> cancel(id), this.random.nextInt(4000), TimeUnit.MILLISECONDS);
			}
		}

		private void cancel(String id) {
			this.begunOrCancelled.add(id);
			this.cell.cancel(id);
		}

		private void sample(SimulatedGateway gateway) {
			long now = this.cell.time.millis();
			if (!isCalm(this.cell.table) || !isCalm(gateway)) {
				return;
			}
			List<String> waiting = this.acceptedMillis.keySet()
				.stream()
				.filter((job) -> this.acceptedMillis.get(job) < now - COUNTED_MILLIS
						&& !this.begunOrCancelled.contains(job))
				.toList();
			this.samples++;
			OptionalInt answer = gateway.waitingJobs(QUEUE);
			if (answer.isEmpty()) {
				this.refused++;
			}
			else if (2 * answer.getAsInt() < waiting.size()) {
				String text = "at %d gateway %d answers %d of %d, %s, the table has %d".formatted(now,
						this.cell.gateways.indexOf(gateway), answer.getAsInt(), waiting.size(), gateway.answer(QUEUE),
						this.cell.pendingCount());
				note(text);
				this.tooLow.add(text);
			}
		}

		private boolean isCalm(Object part) {
			return this.ongoing.getOrDefault(part, 0) == 0
					&& this.cell.time.millis() >= this.calmFromMillis.getOrDefault(part, 0L);
		}

		private void disturb() {
			SimulatedGateway gateway = anyGateway();
			int number = this.cell.gateways.indexOf(gateway);
			switch (this.random.nextInt(14)) {
				case 0, 1 ->
					during("messages of gateway " + number + " lost", new Object(), 500, gateway::setCutFromOwners);
				case 2, 3 -> during("messages of gateway " + number + " lost", new Object(), MAX_DISTURBANCE_MILLIS,
						gateway::setCutFromOwners);
				case 4 -> during("polls of gateway " + number + " unanswered", gateway, MAX_DISTURBANCE_MILLIS,
						gateway.tableClient::setReadsDisconnected);
				case 5 -> during("thin feed of gateway " + number, gateway, MAX_DISTURBANCE_MILLIS, (isThin) -> {
					gateway.tableClient.setLinkRate(isThin ? THIN_LINK / 20 : THIN_LINK);
					gateway.tableClient.setFeedRows(isThin ? FEED_ROWS / 20 : FEED_ROWS);
				});
				case 6 -> loseHistory();
				case 7 -> during("writes delayed", this.cell.table, MAX_DISTURBANCE_MILLIS,
						(isSlow) -> this.cell.table.setWriteDelay(isSlow ? 900 : 0));
				case 8 -> {
					String partition = JobTables.partitions().get(this.random.nextInt(JobTables.partitions().size()));
					during("reads of " + partition + " unanswered", this.cell.table, MAX_DISTURBANCE_MILLIS,
							(isBlocked) -> this.cell.table.blockReads(isBlocked ? partition : ""));
					loseOwner();
				}
				default -> disturbOwner();
			}
		}

		private void disturbOwner() {
			if (!this.cell.hasOwner()) {
				return;
			}
			SimulatedCell.Scheduler owner = this.cell.owner();
			switch (this.random.nextInt(8)) {
				case 0 -> loseOwner();
				case 1 -> loseOwnerAndStandbys();
				case 2 -> {
					loseOwner();
					this.cell.time.schedule(this::loseOwner, this.random.nextInt(4000), TimeUnit.MILLISECONDS);
				}
				case 3 -> during("the owner is suspended", owner, MAX_DISTURBANCE_MILLIS, (isSuspended) -> {
					if (isSuspended) {
						owner.process.suspend();
					}
					else {
						owner.process.resume();
					}
				});
				case 4 -> during("the owner is cut from the table", owner, MAX_DISTURBANCE_MILLIS,
						owner.tableClient::setDisconnected);
				case 5 -> during("reads of the owner unanswered", owner, MAX_DISTURBANCE_MILLIS,
						owner.tableClient::setReadsDisconnected);
				case 6 -> during("the owner learns of no jobs", owner, MAX_DISTURBANCE_MILLIS, (isCut) -> {
					owner.tableClient.setReadsDisconnected(isCut);
					this.cell.gateways.forEach((gateway) -> gateway.setCutFromOwners(isCut));
				});
				case 7 -> {
					loseOwner();
					this.cell.schedulers.stream()
						.filter((scheduler) -> !scheduler.isKilled())
						.forEach((successor) -> during("reads of a successor unanswered", successor,
								MAX_DISTURBANCE_MILLIS, successor.tableClient::setReadsDisconnected));
				}
				default -> throw new IllegalStateException();
			}
		}

		private void loseOwnerAndStandbys() {
			loseOwner();
			this.cell.schedulers.stream()
				.filter((scheduler) -> !scheduler.isKilled())
				.limit(2)
				.toList()
				.forEach(this::lose);
		}

		private void loseOwner() {
			if (this.cell.hasOwner()) {
				lose(this.cell.owner());
			}
		}

		private void lose(SimulatedCell.Scheduler scheduler) {
			note("s" + this.cell.schedulers.indexOf(scheduler) + " is killed"
					+ (scheduler.owner().isPresent() ? ", the owner" : ""));
			scheduler.kill();
			this.cell.time.schedule(this::startHost, 2000, TimeUnit.MILLISECONDS);
		}

		private void startHost() {
			this.cell.addScheduler();
		}

		private void loseHistory() {
			during("history lost", this.cell.table, 1, (isLost) -> {
			});
			this.cell.gateways.forEach((gateway) -> gateway.tableClient.loseChangeHistory());
			this.cell.schedulers.forEach((scheduler) -> scheduler.tableClient.loseChangeHistory());
		}

		private void during(String name, Object part, int maxMillis, Consumer<Boolean> set) {
			int millis = this.random.nextInt(maxMillis);
			note(name + " for " + millis);
			this.ongoing.merge(part, 1, Integer::sum);
			set.accept(true);
			this.cell.time.schedule(() -> {
				this.ongoing.merge(part, -1, Integer::sum);
				this.calmFromMillis.put(part, this.cell.time.millis() + CALM_MILLIS);
				set.accept(false);
			}, millis, TimeUnit.MILLISECONDS);
		}

		private void noteOwners() {
			List<Decision> all = this.cell.decisions;
			all.subList(this.decisionsNoted, all.size())
				.stream()
				.filter((decision) -> decision instanceof PoolDecision.OwnershipTaken
						|| decision instanceof PoolDecision.OwnershipSettled
						|| decision instanceof PoolDecision.OwnershipLost)
				.forEach((decision) -> note("noticed: " + decision));
			this.decisionsNoted = all.size();
		}

		private void note(String text) {
			this.notes.add(this.cell.time.millis() + " " + text);
		}

		private SimulatedGateway anyGateway() {
			return this.cell.gateways.get(this.random.nextInt(GATEWAYS));
		}

	}

}
