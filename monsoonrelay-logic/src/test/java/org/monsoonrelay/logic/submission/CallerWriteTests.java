package org.monsoonrelay.logic.submission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.pool.VirtualTime;

import static org.assertj.core.api.Assertions.assertThat;

class CallerWriteTests {

	private static final PartitionWrite WRITE = PartitionWrite.to("p").onVersion("jobs", "k", 0).put("jobs", "k", "{}");

	private static final PartitionCommit STORED = new PartitionCommit.Committed(7);

	private static final PartitionCommit FOUND_STORED = new PartitionCommit.Conflict(List.of());

	private static final PartitionCommit REJECTED = new PartitionCommit.NotDone("busy");

	private static final PartitionCommit UNKNOWN = new PartitionCommit.Unknown("no answer");

	private final VirtualTime time = new VirtualTime();

	private final List<Long> versions = new ArrayList<>();

	private int directAttempts;

	private int peerAttempts;

	private BooleanSupplier directPathOpen = () -> true;

	private BooleanSupplier permitted = () -> true;

	private Supplier<CompletableFuture<PartitionCommit>> directAnswer = () -> answer(STORED);

	private Supplier<Optional<CompletableFuture<PartitionCommit>>> peerAnswer = Optional::empty;

	private static CompletableFuture<PartitionCommit> answer(PartitionCommit commit) {
		return CompletableFuture.completedFuture(commit);
	}

	private CompletableFuture<AcceptOutcome> write(long waitMillis) {
		long deadline = this.time.clock().nanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		CompletableFuture<AcceptOutcome> outcome = new CallerWrite(new WritePaths(), WRITE,
				() -> this.permitted.getAsBoolean(), this.versions::add, this.time, deadline)
			.start();
		this.time.runFor(0);
		return outcome;
	}

	@Test
	void isAcceptedOnceStored() {
		assertThat(write(3000)).isCompletedWithValue(AcceptOutcome.ACCEPTED);
		assertThat(this.versions).containsExactly(7L);
	}

	@Test
	void isRetriedUntilTheDeadlineIfAnAttemptWasNotAnswered() {
		this.directAnswer = () -> answer(UNKNOWN);
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.time.runFor(2000);
		assertThat(outcome).isNotDone();
		this.directAnswer = () -> answer(FOUND_STORED);
		this.time.runFor(100);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.ACCEPTED);
	}

	@Test
	void isNotSentOnceThePermitHasEnded() {
		this.permitted = () -> false;
		assertThat(write(3000)).isCompletedWithValue(AcceptOutcome.NOT_ACCEPTED);
		assertThat(this.directAttempts + this.peerAttempts).isZero();
	}

	@Test
	void isNotSentAgainOnceThePermitHasEndedAndStaysUnknownIfItMayHaveTakenEffect() {
		this.directAnswer = () -> answer(UNKNOWN);
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		int attempts = this.directAttempts;
		this.permitted = () -> false;
		this.time.runFor(100);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.UNKNOWN);
		assertThat(this.directAttempts).isEqualTo(attempts);
	}

	@Test
	void isNotSentAgainOnceThePermitHasEndedAndIsRefusedIfEveryAttemptWas() {
		this.directAnswer = () -> answer(REJECTED);
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.permitted = () -> false;
		this.time.runFor(100);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.NOT_ACCEPTED);
	}

	// Guards against callers who are asked to come back with a job that cannot be stored.
	@Test
	void isNotRetriedIfTheTableRejectsItsContent() {
		this.directAnswer = () -> answer(new PartitionCommit.Rejected("a row is too large"));
		assertThat(write(3000)).isCompletedWithValue(AcceptOutcome.INVALID);
		this.time.runFor(3000);
		assertThat(this.directAttempts).isEqualTo(1);
		assertThat(this.peerAttempts).isZero();
	}

	// Guards against a job that runs although its caller was told that it is never
	// stored.
	@Test
	void isUnknownIfTheTableRejectsItAfterAnUnansweredAttempt() {
		this.directAnswer = () -> answer(UNKNOWN);
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.directAnswer = () -> answer(new PartitionCommit.Rejected("forbidden"));
		this.time.runFor(100);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.UNKNOWN);
		assertThat(this.directAttempts).isEqualTo(2);
	}

	@Test
	void isUnknownIfOneOfTwoHostsHasItRejectedWhileTheOtherAttemptIsInFlight() {
		this.directAnswer = CompletableFuture::new;
		this.peerAnswer = () -> Optional.of(answer(new PartitionCommit.Rejected("forbidden")));
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.time.runFor(800);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.UNKNOWN);
	}

	@Test
	void isNotHedgedOnceThePermitHasEnded() {
		this.directAnswer = CompletableFuture::new;
		this.peerAnswer = () -> Optional.of(answer(STORED));
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.permitted = () -> false;
		this.time.runFor(3000);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.UNKNOWN);
		assertThat(this.peerAttempts).isZero();
	}

	@Test
	void isNotReportedAsRejectedIfAnAttemptWasNotAnswered() {
		this.directAnswer = () -> answer(UNKNOWN);
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.directAnswer = () -> answer(REJECTED);
		this.time.runFor(3000);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.UNKNOWN);
	}

	@Test
	void isUnknownIfItsOnlyAttemptStaysUnanswered() {
		this.directAnswer = CompletableFuture::new;
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.time.runFor(3000);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.UNKNOWN);
	}

	@Test
	void isRejectedAtOnceWithoutAnAttemptIfNoPathIsAvailable() {
		this.directPathOpen = () -> false;
		assertThat(write(3000)).isCompletedWithValue(AcceptOutcome.NOT_ACCEPTED);
		assertThat(this.directAttempts).isZero();
	}

	@Test
	void isUnknownAtOnceIfNoPathIsAvailableAfterAnUnansweredAttempt() {
		this.directAnswer = () -> {
			this.directPathOpen = () -> false;
			return answer(UNKNOWN);
		};
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.time.runFor(100);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.UNKNOWN);
	}

	@Test
	void isNotReportedAsRejectedIfTheDeadlinePassesWhileAnAttemptIsSent() {
		this.directAnswer = () -> {
			this.time.runFor(4000);
			return answer(STORED);
		};
		assertThat(write(3000)).isCompletedWithValue(AcceptOutcome.UNKNOWN);
	}

	@Test
	void isAlsoSentThroughAnotherHostIfTheTableDoesNotAnswer() {
		this.directAnswer = CompletableFuture::new;
		this.peerAnswer = () -> Optional.of(answer(STORED));
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.time.runFor(800);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.ACCEPTED);
	}

	@Test
	void leavesNoTimerTaskOnceItIsStored() {
		write(3000);
		assertThat(this.time.pendingTaskCount()).isZero();
	}

	/** No attempt starts after the write is completed, whatever the outcome. */
	@Nested
	class AfterCompletion {

		private void assertNoAttemptStartsAfter(CompletableFuture<AcceptOutcome> outcome, AcceptOutcome expected) {
			CallerWriteTests test = CallerWriteTests.this;
			assertThat(outcome).isCompletedWithValue(expected);
			int attempts = test.directAttempts + test.peerAttempts;
			test.directPathOpen = () -> true;
			test.directAnswer = () -> answer(STORED);
			test.peerAnswer = () -> Optional.of(answer(FOUND_STORED));
			test.time.runFor(4000);
			assertThat(test.directAttempts + test.peerAttempts).isEqualTo(attempts);
			assertThat(outcome).isCompletedWithValue(expected);
		}

		@Test
		void noAttemptStartsIfStored() {
			assertNoAttemptStartsAfter(write(3000), AcceptOutcome.ACCEPTED);
		}

		@Test
		void noAttemptStartsIfFoundStored() {
			CallerWriteTests.this.directAnswer = () -> answer(FOUND_STORED);
			assertNoAttemptStartsAfter(write(3000), AcceptOutcome.ACCEPTED);
		}

		@Test
		void noAttemptStartsIfStoredByARetry() {
			CallerWriteTests.this.directAnswer = () -> answer(REJECTED);
			CompletableFuture<AcceptOutcome> outcome = write(3000);
			CallerWriteTests.this.directAnswer = () -> answer(STORED);
			CallerWriteTests.this.time.runFor(100);
			assertNoAttemptStartsAfter(outcome, AcceptOutcome.ACCEPTED);
		}

		@Test
		void noAttemptStartsIfStoredThroughAnotherHost() {
			CallerWriteTests.this.directPathOpen = () -> false;
			CallerWriteTests.this.peerAnswer = () -> Optional.of(answer(STORED));
			assertNoAttemptStartsAfter(write(3000), AcceptOutcome.ACCEPTED);
		}

		@Test
		void noAttemptStartsIfRejectedWithoutAnAvailablePath() {
			CallerWriteTests.this.directPathOpen = () -> false;
			assertNoAttemptStartsAfter(write(3000), AcceptOutcome.NOT_ACCEPTED);
		}

		@Test
		void noAttemptStartsIfRejectedUntilTheDeadline() {
			CallerWriteTests.this.directAnswer = () -> answer(REJECTED);
			CompletableFuture<AcceptOutcome> outcome = write(3000);
			CallerWriteTests.this.time.runFor(3000);
			assertNoAttemptStartsAfter(outcome, AcceptOutcome.NOT_ACCEPTED);
		}

		@Test
		void noAttemptStartsIfUnknownWithoutAnAvailablePath() {
			CallerWriteTests.this.directAnswer = () -> {
				CallerWriteTests.this.directPathOpen = () -> false;
				return answer(UNKNOWN);
			};
			CompletableFuture<AcceptOutcome> outcome = write(3000);
			CallerWriteTests.this.time.runFor(100);
			assertNoAttemptStartsAfter(outcome, AcceptOutcome.UNKNOWN);
		}

		@Test
		void noAttemptStartsIfUnknownAtTheDeadline() {
			CallerWriteTests.this.directAnswer = CompletableFuture::new;
			CompletableFuture<AcceptOutcome> outcome = write(3000);
			CallerWriteTests.this.time.runFor(3000);
			assertNoAttemptStartsAfter(outcome, AcceptOutcome.UNKNOWN);
		}

		@Test
		void noHedgedAttemptStartsIfTheFirstOneCompletesMeanwhile() {
			CompletableFuture<PartitionCommit> first = new CompletableFuture<>();
			CallerWriteTests.this.directAnswer = () -> first;
			CompletableFuture<AcceptOutcome> outcome = write(3000);
			CallerWriteTests.this.directPathOpen = () -> {
				first.complete(STORED);
				return true;
			};
			CallerWriteTests.this.time.runFor(1000);
			assertThat(CallerWriteTests.this.peerAttempts).isZero();
			assertNoAttemptStartsAfter(outcome, AcceptOutcome.ACCEPTED);
		}

	}

	private final class WritePaths implements CallerWrite.WritePaths {

		@Override
		public long nanoTime() {
			return CallerWriteTests.this.time.clock().nanos();
		}

		@Override
		public boolean isDirectPathOpen() {
			return CallerWriteTests.this.directPathOpen.getAsBoolean();
		}

		@Override
		public CompletableFuture<PartitionCommit> writeDirectly(PartitionWrite write) {
			CallerWriteTests.this.directAttempts++;
			return CallerWriteTests.this.directAnswer.get();
		}

		@Override
		public Optional<CompletableFuture<PartitionCommit>> writeThroughPeer(PartitionWrite write) {
			CallerWriteTests.this.peerAttempts++;
			return CallerWriteTests.this.peerAnswer.get();
		}

	}

}
