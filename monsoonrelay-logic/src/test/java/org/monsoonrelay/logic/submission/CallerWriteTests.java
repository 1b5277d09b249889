package org.monsoonrelay.logic.submission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.pool.VirtualTime;

import static org.assertj.core.api.Assertions.assertThat;

class CallerWriteTests {

	private static final PartitionWrite WRITE = PartitionWrite.to("p").onVersion("jobs", "k", 0).put("jobs", "k", "{}");

	private static final PartitionCommit STORED = new PartitionCommit.Committed(7);

	private static final PartitionCommit REFUSED = new PartitionCommit.NotDone("busy");

	private static final PartitionCommit UNKNOWN = new PartitionCommit.Unknown("no answer");

	private final VirtualTime time = new VirtualTime();

	private final List<Long> versions = new ArrayList<>();

	private int directTries;

	private boolean open = true;

	private Supplier<CompletableFuture<PartitionCommit>> direct = () -> answer(STORED);

	private Supplier<Optional<CompletableFuture<PartitionCommit>>> relayed = Optional::empty;

	private static CompletableFuture<PartitionCommit> answer(PartitionCommit commit) {
		return CompletableFuture.completedFuture(commit);
	}

	private CompletableFuture<AcceptOutcome> write(long waitMillis) {
		long deadline = this.time.clock().nanos() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		CompletableFuture<AcceptOutcome> outcome = new CallerWrite(new Ways(), WRITE, this.versions::add, this.time,
				deadline)
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
		this.direct = () -> answer(new PartitionCommit.Conflict(List.of()));
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
		this.open = false;
		assertThat(write(3000)).isCompletedWithValue(AcceptOutcome.NOT_ACCEPTED);
		assertThat(this.directTries).isZero();
	}

	@Test
	void isUnknownAtOnceIfNoWayIsOpenAfterATryWithoutAnAnswer() {
		this.direct = () -> {
			this.open = false;
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

	private final class Ways implements CallerWrite.Ways {

		@Override
		public long nanoTime() {
			return CallerWriteTests.this.time.clock().nanos();
		}

		@Override
		public boolean isOpen() {
			return CallerWriteTests.this.open;
		}

		@Override
		public CompletableFuture<PartitionCommit> direct(PartitionWrite write) {
			CallerWriteTests.this.directTries++;
			return CallerWriteTests.this.direct.get();
		}

		@Override
		public Optional<CompletableFuture<PartitionCommit>> relayed(PartitionWrite write) {
			return CallerWriteTests.this.relayed.get();
		}

	}

}
