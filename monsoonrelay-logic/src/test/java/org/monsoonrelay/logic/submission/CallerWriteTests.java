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

	private static final PartitionCommit FOUND = new PartitionCommit.Conflict(List.of());

	private static final PartitionCommit REFUSED = new PartitionCommit.NotDone("busy");

	private static final PartitionCommit UNKNOWN = new PartitionCommit.Unknown("no answer");

	private final VirtualTime time = new VirtualTime();

	private final List<Long> versions = new ArrayList<>();

	private int directTries;

	private int relayedTries;

	private BooleanSupplier open = () -> true;

	private Supplier<CompletableFuture<PartitionCommit>> direct = () -> answer(STORED);

	private Supplier<Optional<CompletableFuture<PartitionCommit>>> relayed = Optional::empty;

	private static CompletableFuture<PartitionCommit> answer(PartitionCommit commit) {
		return CompletableFuture.completedFuture(commit);
	}

	private CompletableFuture<AcceptOutcome> write(long waitMillis) {
		long deadline = this.time.clock().nanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		CompletableFuture<AcceptOutcome> outcome = new CallerWrite(new WritePaths(), WRITE, this.versions::add,
				this.time, deadline)
			.begin();
		this.time.runFor(0);
		return outcome;
	}

	@Test
	void isAcceptedOnceStored() {
		assertThat(write(3000)).isCompletedWithValue(AcceptOutcome.ACCEPTED);
		assertThat(this.versions).containsExactly(7L);
	}

	@Test
	void isRepeatedWhileItsCallerWaitsIfATryHadNoAnswer() {
		this.direct = () -> answer(UNKNOWN);
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.time.runFor(2000);
		assertThat(outcome).isNotDone();
		this.direct = () -> answer(FOUND);
		this.time.runFor(100);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.ACCEPTED);
	}

	@Test
	void isNotCalledRefusedIfATryHadNoAnswer() {
		this.direct = () -> answer(UNKNOWN);
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.direct = () -> answer(REFUSED);
		this.time.runFor(3000);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.UNKNOWN);
	}

	@Test
	void isUnknownIfItsOnlyTryStaysUnanswered() {
		this.direct = CompletableFuture::new;
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.time.runFor(3000);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.UNKNOWN);
	}

	@Test
	void isRefusedUnsentAndAtOnceWhileNoWayIsOpen() {
		this.open = () -> false;
		assertThat(write(3000)).isCompletedWithValue(AcceptOutcome.NOT_ACCEPTED);
		assertThat(this.directTries).isZero();
	}

	@Test
	void isUnknownAtOnceIfNoWayIsOpenAfterATryWithoutAnAnswer() {
		this.direct = () -> {
			this.open = () -> false;
			return answer(UNKNOWN);
		};
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.time.runFor(100);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.UNKNOWN);
	}

	@Test
	void isNotCalledRefusedIfItsCallersTimeEndsWhileATryIsBeingSent() {
		this.direct = () -> {
			this.time.runFor(4000);
			return answer(STORED);
		};
		assertThat(write(3000)).isCompletedWithValue(AcceptOutcome.UNKNOWN);
	}

	@Test
	void goesThroughAnotherHostAsWellWhileTheTableIsSilentHere() {
		this.direct = CompletableFuture::new;
		this.relayed = () -> Optional.of(answer(STORED));
		CompletableFuture<AcceptOutcome> outcome = write(3000);
		this.time.runFor(800);
		assertThat(outcome).isCompletedWithValue(AcceptOutcome.ACCEPTED);
	}

	@Test
	void leavesNothingWithTheTimerOnceItIsStored() {
		write(3000);
		assertThat(this.time.pendingTaskCount()).isZero();
	}

	/** Whatever the caller was told, no try begins after it. */
	@Nested
	class OnceItsCallerWasTold {

		private void assertNoTryBeginsAfter(CompletableFuture<AcceptOutcome> outcome, AcceptOutcome told) {
			CallerWriteTests test = CallerWriteTests.this;
			assertThat(outcome).isCompletedWithValue(told);
			int tries = test.directTries + test.relayedTries;
			test.open = () -> true;
			test.direct = () -> answer(STORED);
			test.relayed = () -> Optional.of(answer(FOUND));
			test.time.runFor(4000);
			assertThat(test.directTries + test.relayedTries).isEqualTo(tries);
			assertThat(outcome).isCompletedWithValue(told);
		}

		@Test
		void thatItIsStoredNoTryBegins() {
			assertNoTryBeginsAfter(write(3000), AcceptOutcome.ACCEPTED);
		}

		@Test
		void thatItWasFoundStoredNoTryBegins() {
			CallerWriteTests.this.direct = () -> answer(FOUND);
			assertNoTryBeginsAfter(write(3000), AcceptOutcome.ACCEPTED);
		}

		@Test
		void thatItIsStoredAfterARepeatNoTryBegins() {
			CallerWriteTests.this.direct = () -> answer(REFUSED);
			CompletableFuture<AcceptOutcome> outcome = write(3000);
			CallerWriteTests.this.direct = () -> answer(STORED);
			CallerWriteTests.this.time.runFor(100);
			assertNoTryBeginsAfter(outcome, AcceptOutcome.ACCEPTED);
		}

		@Test
		void thatItIsStoredThroughAnotherHostNoTryBegins() {
			CallerWriteTests.this.open = () -> false;
			CallerWriteTests.this.relayed = () -> Optional.of(answer(STORED));
			assertNoTryBeginsAfter(write(3000), AcceptOutcome.ACCEPTED);
		}

		@Test
		void thatNothingWasDoneNoTryBegins() {
			CallerWriteTests.this.open = () -> false;
			assertNoTryBeginsAfter(write(3000), AcceptOutcome.NOT_ACCEPTED);
		}

		@Test
		void thatNothingWasDoneInItsTimeNoTryBegins() {
			CallerWriteTests.this.direct = () -> answer(REFUSED);
			CompletableFuture<AcceptOutcome> outcome = write(3000);
			CallerWriteTests.this.time.runFor(3000);
			assertNoTryBeginsAfter(outcome, AcceptOutcome.NOT_ACCEPTED);
		}

		@Test
		void thatNothingIsCertainNoTryBegins() {
			CallerWriteTests.this.direct = () -> {
				CallerWriteTests.this.open = () -> false;
				return answer(UNKNOWN);
			};
			CompletableFuture<AcceptOutcome> outcome = write(3000);
			CallerWriteTests.this.time.runFor(100);
			assertNoTryBeginsAfter(outcome, AcceptOutcome.UNKNOWN);
		}

		@Test
		void thatNothingIsCertainInItsTimeNoTryBegins() {
			CallerWriteTests.this.direct = CompletableFuture::new;
			CompletableFuture<AcceptOutcome> outcome = write(3000);
			CallerWriteTests.this.time.runFor(3000);
			assertNoTryBeginsAfter(outcome, AcceptOutcome.UNKNOWN);
		}

		@Test
		void whileASecondTryWasAboutToBeginItDoesNot() {
			CompletableFuture<PartitionCommit> first = new CompletableFuture<>();
			CallerWriteTests.this.direct = () -> first;
			CompletableFuture<AcceptOutcome> outcome = write(3000);
			CallerWriteTests.this.open = () -> {
				first.complete(STORED);
				return true;
			};
			CallerWriteTests.this.time.runFor(1000);
			assertThat(CallerWriteTests.this.relayedTries).isZero();
			assertNoTryBeginsAfter(outcome, AcceptOutcome.ACCEPTED);
		}

	}

	private final class WritePaths implements CallerWrite.WritePaths {

		@Override
		public long nanoTime() {
			return CallerWriteTests.this.time.clock().nanos();
		}

		@Override
		public boolean isDirectPathOpen() {
			return CallerWriteTests.this.open.getAsBoolean();
		}

		@Override
		public CompletableFuture<PartitionCommit> writeDirectly(PartitionWrite write) {
			CallerWriteTests.this.directTries++;
			return CallerWriteTests.this.direct.get();
		}

		@Override
		public Optional<CompletableFuture<PartitionCommit>> writeThroughPeer(PartitionWrite write) {
			CallerWriteTests.this.relayedTries++;
			return CallerWriteTests.this.relayed.get();
		}

	}

}
