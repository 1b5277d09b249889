package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.OptionalInt;
import java.util.stream.IntStream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What hosts answer when the jobs that wait have not been counted for a while: they count
 * half of those of five seconds ago, or say that they do not know.
 */
class OutdatedQueueCountTests {

	private static final String QUEUE = "confirm";

	private static final int SLOTS = 4;

	/** Users expect half of the jobs to be counted that were accepted so long ago. */
	private static final long COUNTED_MILLIS = 5000;

	private static final long SAMPLE_MILLIS = 250;

	private final SimulatedCell cell = new SimulatedCell().withWorkers(1).withRunMillis(60_000);

	private final SimulatedGateway gateway = new SimulatedGateway(this.cell);

	private final List<String> jobs = IntStream.range(0, 60).mapToObj("job%02d"::formatted).toList();

	private final String first = this.jobs.get(SLOTS);

	/** Jobs of other partitions than the first one that waits. */
	private final List<String> later = this.jobs.stream()
		.skip(SLOTS + 1)
		.filter((id) -> !JobTables.partition(id).equals(JobTables.partition(this.first)))
		.limit(26)
		.toList();

	private SimulatedCell.Scheduler owner;

	private SimulatedCell.Scheduler standby;

	@BeforeEach
	void fillWorkersAndCountOneJob() {
		this.cell.gateways.add(this.gateway);
		this.owner = this.cell.startOwnerAndStandby();
		this.standby = this.cell.schedulers.get(1);
		this.cell.time.runFor(3000);
		this.jobs.subList(0, SLOTS + 1).forEach(this::submit);
		this.cell.time.runFor(5000);
		assertThat(this.gateway.waitingJobs(QUEUE)).isEqualTo(OptionalInt.of(1));
	}

	@Test
	void aCountIsNotTooLowWhileOnePartitionIsNotRead() {
		this.cell.table.blockReads(JobTables.partition(this.first));
		this.standby.kill();
		this.owner.kill();
		this.cell.addScheduler();
		this.cell.time.runFor(3000);
		assertThat(this.cell.hasOwner()).isTrue();
		assertJobsThatWaitAreCounted();
	}

	@Test
	void aCountIsNotTooLowWhileTheSuccessorReadsNothing() {
		this.standby.tableClient.setReadsDisconnected(true);
		this.owner.kill();
		this.cell.time.runFor(1500);
		assertThat(this.standby.owner()).isPresent();
		assertJobsThatWaitAreCounted();
	}

	@Test
	void aCountIsNotTooLowWhileNobodyOwnsThePool() {
		this.standby.kill();
		this.owner.kill();
		assertJobsThatWaitAreCounted();
	}

	@Test
	void aCountIsNotTooLowWhileTheOwnerLearnsOfNoJobs() {
		this.owner.tableClient.setReadsDisconnected(true);
		this.cell.time.runFor(1500);
		assertJobsThatWaitAreCounted();
		assertThat(this.owner.owner()).isPresent();
	}

	@Test
	void aPartitionThatIsNotReadDelaysItsOwnJobsOnly() {
		this.cell.table.blockReads(JobTables.partition(this.first));
		this.standby.kill();
		this.owner.kill();
		this.cell.addScheduler();
		this.cell.workers.add("w1", SimulatedCell.CAPACITY);
		this.cell.time.runFor(3000);
		submit(this.later.get(0));
		this.cell.time.runFor(6000);
		assertThat(startCount(this.later.get(0))).isOne();
		assertThat(startCount(this.first)).isZero();
		assertThat(settledCount()).isOne();
		this.cell.table.blockReads("");
		this.cell.time.runFor(2000);
		assertThat(startCount(this.first)).isOne();
		assertThat(settledCount()).isEqualTo(2);
	}

	private void assertJobsThatWaitAreCounted() {
		this.later.forEach(this::submit);
		this.cell.time.runFor(COUNTED_MILLIS);
		for (int i = 0; i < 12; i++) {
			this.cell.time.runFor(SAMPLE_MILLIS);
			assertThat(this.later).allSatisfy((job) -> assertThat(startCount(job)).isZero());
			assertThat(this.gateway.waitingJobs(QUEUE).orElse(this.later.size()))
				.as(() -> this.gateway.answer(QUEUE).toString())
				.isGreaterThanOrEqualTo(this.later.size() / 2);
		}
	}

	private void submit(String job) {
		this.cell.submit(job, SimulatedCell.step(1, false));
	}

	private int startCount(String job) {
		return this.cell.workers.startCount(new TaskKey(job, 0, 0, 0));
	}

	private long settledCount() {
		return this.cell.decisions.stream().filter(PoolDecision.OwnershipSettled.class::isInstance).count();
	}

}
