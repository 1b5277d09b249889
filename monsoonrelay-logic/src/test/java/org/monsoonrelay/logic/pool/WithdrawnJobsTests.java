package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.logic.customers.Caller;
import org.monsoonrelay.logic.customers.CallerPermit;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.submission.AcceptOutcome;
import org.monsoonrelay.logic.submission.CommitRelay;
import org.monsoonrelay.logic.submission.JobStates;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.logic.submission.StorageAvailabilityMonitor;
import org.monsoonrelay.logic.submission.StoredJobListener;
import org.monsoonrelay.logic.submission.SubmissionService;
import org.monsoonrelay.logic.submission.WithdrawalCleaner;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.TaskKey;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against jobs that run although their caller was told, when it cancelled them,
 * that there is no such job.
 */
class WithdrawnJobsTests {

	private static final String ID = "5c0e7a21d94b36f8";

	private static final TaskKey TASK = new TaskKey(ID, 0, 0, 0);

	private static final long WAIT_MILLIS = 2500;

	private static final long TIMEOUT_MILLIS = 900;

	private static final long LATE_MILLIS = 6000;

	private static final CallerPermit ACME = new CallerPermit(Caller.of("acme"), () -> true);

	private static final CallerPermit OTHER = new CallerPermit(Caller.of("other"), () -> true);

	private static final CallerPermit PUBLIC = new CallerPermit(Caller.PUBLIC, () -> true);

	private final SimulatedCell cell = new SimulatedCell().withWorkers(2);

	private final Gateway first = new Gateway();

	private final Gateway second = new Gateway();

	private boolean isStored(String table) {
		return !this.cell.table.value(table, JobTables.partition(ID), ID).isEmpty();
	}

	private void loseWritesOf(Gateway gateway, long effectMillis) {
		gateway.table.answerWrites((write) -> WriteAnswer.unanswered(effectMillis, TIMEOUT_MILLIS));
	}

	private void answerAgain(Gateway gateway) {
		gateway.table.answerWrites((write) -> WriteAnswer.USUAL);
	}

	/**
	 * Submissions and cancellations of one job through two hosts, whose writes are not
	 * answered, take effect late or are refused. By hand with more seeds:
	 * {@code -Dwithdrawn.first=1 -Dwithdrawn.seeds=1000}.
	 */
	@TestFactory
	List<DynamicTest> doNotRunWhateverBecomesOfTheirWrites() {
		long first = Long.getLong("withdrawn.first", 1);
		return LongStream.range(first, first + Long.getLong("withdrawn.seeds", 50))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new WithdrawnJobsTests().play(seed)))
			.toList();
	}

	private void play(long seed) {
		Random random = new Random(seed);
		this.cell.startOwnerAndStandby();
		List<Gateway> gateways = List.of(this.first, this.second);
		gateways.forEach((gateway) -> gateway.table.answerWrites((write) -> switch (random.nextInt(5)) {
			case 0 -> WriteAnswer.refused();
			case 1 -> WriteAnswer.unanswered(5 + random.nextInt((int) LATE_MILLIS), TIMEOUT_MILLIS);
			case 2 -> WriteAnswer.unanswered(WriteAnswer.NEVER, 8);
			default -> WriteAnswer.USUAL;
		}));
		for (int i = 0; i < 4; i++) {
			gateways.get(random.nextInt(2)).send(CallerPermit.UNRESTRICTED);
			this.cell.time.runFor(random.nextInt(400));
		}
		AcceptOutcome answer = gateways.get(random.nextInt(2)).cancel(CallerPermit.UNRESTRICTED);
		boolean wasStored = isStored(JobTables.JOBS);
		this.cell.time.runFor(random.nextInt(4000));
		gateways.get(random.nextInt(2)).send(CallerPermit.UNRESTRICTED);
		this.cell.time.runFor(3 * LATE_MILLIS);
		if (answer == AcceptOutcome.NO_SUCH_JOB) {
			assertThat(wasStored).isFalse();
			assertThat(isStored(JobTables.JOBS)).isFalse();
			assertThat(this.cell.workers.startCount(TASK)).isZero();
		}
		assertThat(this.cell.workers.violations()).isEmpty();
	}

	/** The part of a host that serves callers. */
	private final class Gateway {

		private final InMemoryTable.Client table = WithdrawnJobsTests.this.cell.table.client();

		private CommitRelay relay = CommitRelay.NONE;

		private final SubmissionService service;

		Gateway() {
			VirtualTime time = WithdrawnJobsTests.this.cell.time;
			JobStates states = new JobStates(WithdrawnJobsTests.this.cell.unreadable, time.clock()::nanos);
			StorageAvailabilityMonitor storage = new StorageAvailabilityMonitor(() -> {
			}, time.clock()::nanos, DecisionLog.NONE);
			this.service = new SubmissionService(this.table, states, StoredJobListener.NONE,
					(write) -> this.relay.relay(write), storage, time, time.clock()::nanos);
		}

		private long deadlineNanos() {
			return WithdrawnJobsTests.this.cell.time.clock().nanos() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
		}

		CompletableFuture<AcceptOutcome> send(CallerPermit permit) {
			Submission job = new Submission(ID, WithdrawnJobsTests.this.cell.policy(3), "text",
					List.of(SimulatedCell.step(2, false)), Timetable.AT_ONCE, 0, permit.caller().customer().orElse(""));
			return this.service.submit(job, permit, deadlineNanos());
		}

		AcceptOutcome submit(CallerPermit permit) {
			return await(send(permit));
		}

		AcceptOutcome cancel(CallerPermit permit) {
			return await(this.service.cancel(ID, permit, deadlineNanos()));
		}

		private AcceptOutcome await(CompletableFuture<AcceptOutcome> answer) {
			for (int millis = 0; millis <= WAIT_MILLIS && !answer.isDone(); millis++) {
				WithdrawnJobsTests.this.cell.time.runFor(1);
			}
			return answer.join();
		}

	}

	@Nested
	class AJobWhoseWriteTakesEffectLate {

		private final SimulatedCell cell = WithdrawnJobsTests.this.cell;

		private void submitLateThenCancel() {
			loseWritesOf(WithdrawnJobsTests.this.first, LATE_MILLIS);
			assertThat(WithdrawnJobsTests.this.first.submit(CallerPermit.UNRESTRICTED))
				.isEqualTo(AcceptOutcome.UNKNOWN);
			assertThat(WithdrawnJobsTests.this.second.cancel(CallerPermit.UNRESTRICTED))
				.isEqualTo(AcceptOutcome.NO_SUCH_JOB);
		}

		// Guards against a cancellation that is answered by a read alone.
		@Test
		void doesNotRunIfItsCancellationWasAnsweredNoSuchJob() {
			this.cell.startOwnerAndStandby();
			submitLateThenCancel();
			this.cell.time.runFor(2 * LATE_MILLIS);
			assertThat(isStored(JobTables.JOBS)).isFalse();
			assertThat(this.cell.workers.startCount(TASK)).isZero();
		}

		@Test
		void doesNotRunUnderALaterOwnerThatHasLostTheHistory() {
			SimulatedCell.Scheduler owner = this.cell.startOwnerAndStandby();
			submitLateThenCancel();
			this.cell.table.loseChangeHistory();
			owner.kill();
			this.cell.time.runFor(3 * LATE_MILLIS);
			assertThat(this.cell.hasOwner()).isTrue();
			assertThat(this.cell.workers.startCount(TASK)).isZero();
		}

		@Test
		void isNotStoredByARepetitionEither() {
			submitLateThenCancel();
			answerAgain(WithdrawnJobsTests.this.first);
			assertThat(WithdrawnJobsTests.this.first.submit(CallerPermit.UNRESTRICTED))
				.isEqualTo(AcceptOutcome.WITHDRAWN);
			assertThat(WithdrawnJobsTests.this.second.submit(CallerPermit.UNRESTRICTED))
				.isEqualTo(AcceptOutcome.WITHDRAWN);
			assertThat(isStored(JobTables.JOBS)).isFalse();
		}

		@Test
		void isCancelledIfItIsStoredJustBeforeTheWithdrawal() {
			loseWritesOf(WithdrawnJobsTests.this.first, 5);
			WithdrawnJobsTests.this.first.send(CallerPermit.UNRESTRICTED);
			assertThat(WithdrawnJobsTests.this.second.cancel(CallerPermit.UNRESTRICTED))
				.isEqualTo(AcceptOutcome.ACCEPTED);
			assertThat(isStored(JobTables.WITHDRAWALS)).isFalse();
		}

	}

	@Nested
	class ACancellationThatCannotBeStored {

		@Test
		void isUnknownIfItsWriteIsNotAnswered() {
			loseWritesOf(WithdrawnJobsTests.this.second, WriteAnswer.NEVER);
			assertThat(WithdrawnJobsTests.this.second.cancel(CallerPermit.UNRESTRICTED))
				.isEqualTo(AcceptOutcome.UNKNOWN);
		}

		@Test
		void isNotAcceptedIfTheTableRefusesIt() {
			WithdrawnJobsTests.this.second.table.setRejectsRequests(true);
			assertThat(WithdrawnJobsTests.this.second.cancel(CallerPermit.UNRESTRICTED))
				.isEqualTo(AcceptOutcome.NOT_ACCEPTED);
		}

		// Guards against callers that use up the table's writes with ids that never
		// existed.
		@Test
		void isNotAcceptedBeyondTheLimitOfAHost() {
			Gateway gateway = WithdrawnJobsTests.this.second;
			int refused = 0;
			long before = WithdrawnJobsTests.this.cell.table.version();
			for (int i = 0; i < 60; i++) {
				CompletableFuture<AcceptOutcome> answer = gateway.service.cancel(String.format("%016x", i),
						CallerPermit.UNRESTRICTED, gateway.deadlineNanos());
				refused += (gateway.await(answer) == AcceptOutcome.NOT_ACCEPTED) ? 1 : 0;
			}
			assertThat(refused).isPositive();
			assertThat(WithdrawnJobsTests.this.cell.table.version() - before).isEqualTo(60 - refused)
				.isLessThanOrEqualTo(20);
		}

	}

	@Nested
	class OfAnotherCustomer {

		@Test
		void areStoredBesideAWithdrawalOfTheSameId() {
			assertThat(WithdrawnJobsTests.this.first.cancel(ACME)).isEqualTo(AcceptOutcome.NO_SUCH_JOB);
			assertThat(WithdrawnJobsTests.this.second.submit(OTHER)).isEqualTo(AcceptOutcome.ACCEPTED);
			assertThat(WithdrawnJobsTests.this.first.submit(OTHER)).isEqualTo(AcceptOutcome.ACCEPTED);
		}

		@Test
		void areNotToldApartFromJobsThatDoNotExist() {
			WithdrawnJobsTests.this.first.submit(OTHER);
			assertThat(WithdrawnJobsTests.this.second.cancel(ACME)).isEqualTo(AcceptOutcome.NO_SUCH_JOB);
			assertThat(isStored(JobTables.WITHDRAWALS)).isFalse();
			assertThat(WithdrawnJobsTests.this.second.cancel(OTHER)).isEqualTo(AcceptOutcome.ACCEPTED);
		}

		@Test
		void areWithdrawnByTheirOwnCallersBesideOthers() {
			assertThat(WithdrawnJobsTests.this.first.cancel(ACME)).isEqualTo(AcceptOutcome.NO_SUCH_JOB);
			assertThat(WithdrawnJobsTests.this.second.cancel(OTHER)).isEqualTo(AcceptOutcome.NO_SUCH_JOB);
			assertThat(WithdrawnJobsTests.this.second.cancel(OTHER)).isEqualTo(AcceptOutcome.NO_SUCH_JOB);
			assertThat(WithdrawnJobsTests.this.second.submit(OTHER)).isEqualTo(AcceptOutcome.WITHDRAWN);
			assertThat(WithdrawnJobsTests.this.first.submit(ACME)).isEqualTo(AcceptOutcome.WITHDRAWN);
			assertThat(WithdrawnJobsTests.this.first.submit(PUBLIC)).isEqualTo(AcceptOutcome.WITHDRAWN);
		}

		@Test
		void areNotWithdrawnByACallerWithoutACustomer() {
			assertThat(WithdrawnJobsTests.this.first.cancel(PUBLIC)).isEqualTo(AcceptOutcome.NO_SUCH_JOB);
			assertThat(WithdrawnJobsTests.this.second.submit(PUBLIC)).isEqualTo(AcceptOutcome.WITHDRAWN);
			assertThat(WithdrawnJobsTests.this.second.submit(ACME)).isEqualTo(AcceptOutcome.ACCEPTED);
		}

	}

	@Nested
	class ThroughAnotherHost {

		private final Gateway gateway = WithdrawnJobsTests.this.second;

		// A conflict that is relayed does not contain the rows.
		@Test
		void areWithdrawnAndRefusedAsDirectly() {
			InMemoryTable.Client ofPeer = WithdrawnJobsTests.this.cell.table.client();
			this.gateway.relay = (write) -> Optional.of(ofPeer.commit(write)
				.thenApply((commit) -> (commit instanceof PartitionCommit.Conflict)
						? new PartitionCommit.Conflict(List.of()) : commit));
			this.gateway.table.answerWrites((write) -> WriteAnswer.refused());
			assertThat(this.gateway.cancel(CallerPermit.UNRESTRICTED)).isEqualTo(AcceptOutcome.NO_SUCH_JOB);
			assertThat(this.gateway.cancel(CallerPermit.UNRESTRICTED)).isEqualTo(AcceptOutcome.NO_SUCH_JOB);
			assertThat(this.gateway.submit(CallerPermit.UNRESTRICTED)).isEqualTo(AcceptOutcome.WITHDRAWN);
		}

	}

	@Nested
	class TheRowOfAWithdrawal {

		/** A visit of all partitions. */
		private static final long CYCLE_MILLIS = 320_000;

		@Test
		void isRemovedAfterAWhileAndTheIdMayBeUsedAgain() {
			VirtualTime time = WithdrawnJobsTests.this.cell.time;
			for (int i = 0; i < 3; i++) {
				new WithdrawalCleaner(WithdrawnJobsTests.this.cell.table.client(), time, DecisionLog.NONE).start();
			}
			WithdrawnJobsTests.this.first.cancel(CallerPermit.UNRESTRICTED);
			time.runFor(CYCLE_MILLIS - 1000);
			assertThat(isStored(JobTables.WITHDRAWALS)).isTrue();
			time.runFor(CYCLE_MILLIS + 2000);
			assertThat(isStored(JobTables.WITHDRAWALS)).isFalse();
			assertThat(WithdrawnJobsTests.this.second.submit(CallerPermit.UNRESTRICTED))
				.isEqualTo(AcceptOutcome.ACCEPTED);
		}

		@Test
		void isKeptIfItWasWrittenAgainMeanwhile() {
			VirtualTime time = WithdrawnJobsTests.this.cell.time;
			new WithdrawalCleaner(WithdrawnJobsTests.this.cell.table.client(), time, DecisionLog.NONE).start();
			WithdrawnJobsTests.this.first.cancel(ACME);
			time.runFor(CYCLE_MILLIS - 1000);
			WithdrawnJobsTests.this.first.cancel(OTHER);
			time.runFor(CYCLE_MILLIS - 1000);
			assertThat(isStored(JobTables.WITHDRAWALS)).isTrue();
		}

		@Test
		void isRemovedWithAllOthersHoweverMany() {
			VirtualTime time = WithdrawnJobsTests.this.cell.time;
			Gateway gateway = WithdrawnJobsTests.this.first;
			new WithdrawalCleaner(WithdrawnJobsTests.this.cell.table.client(), time, DecisionLog.NONE).start();
			for (int i = 0; i < 2000; i++) {
				gateway.service.cancel(String.format("%016x", i), CallerPermit.UNRESTRICTED, gateway.deadlineNanos());
				time.runFor(60);
			}
			time.runFor(3 * CYCLE_MILLIS);
			for (int i = 0; i < 2000; i++) {
				String id = String.format("%016x", i);
				assertThat(WithdrawnJobsTests.this.cell.table.value(JobTables.WITHDRAWALS, JobTables.partition(id), id))
					.isEmpty();
			}
		}

	}

}
