package org.monsoonrelay.logic.rows;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RejectedRowsTests {

	private final RejectedRows rejected = new RejectedRows();

	private final Set<String> unwritten = IntStream.range(0, 45)
		.mapToObj((i) -> "job" + i)
		.collect(Collectors.toCollection(LinkedHashSet::new));

	private final Set<String> unacceptable = new HashSet<>();

	private long nowNanos;

	private RejectedRows.Refusal refusal = RejectedRows.Refusal.FOR_GOOD;

	private RejectedRows.Cause lastCause = new RejectedRows.Cause.Unknown();

	private int writes;

	/** Writes once, as much as is allowed. */
	private void write() {
		Set<String> written = new LinkedHashSet<>(this.unwritten);
		this.rejected.nextGroup(this.nowNanos)
			.ifPresentOrElse(written::retainAll, () -> written.removeAll(this.rejected.heldBack()));
		this.writes++;
		if (written.stream().anyMatch(this.unacceptable::contains)) {
			this.lastCause = this.rejected.rejected(written, this.refusal, this.nowNanos);
		}
		else {
			this.unwritten.removeAll(written);
			this.rejected.accepted(written);
		}
	}

	private void writeUntil(BooleanSupplier isDone) {
		for (int i = 0; i < 1000 && !isDone.getAsBoolean(); i++) {
			write();
		}
		assertThat(isDone.getAsBoolean()).isTrue();
	}

	private void writeAll() {
		do {
			write();
		}
		while (this.rejected.nextGroup(this.nowNanos).isPresent());
	}

	@Test
	void severalJobsAreHeldBackWhileAllOthersAreWritten() {
		this.unacceptable.addAll(List.of("job0", "job1", "job44"));
		writeAll();
		assertThat(this.unwritten).containsExactly("job0", "job1", "job44");
		assertThat(this.rejected.heldBack()).containsExactlyInAnyOrder("job0", "job1", "job44");
	}

	// Guards against blaming jobs for a table that begins to reject everything while
	// their
	// rows are divided.
	@Test
	void noJobIsHeldBackIfTheTableRejectsEverythingFromTheSecondWriteOn() {
		this.unacceptable.add("job17");
		write();
		write();
		for (int i = 0; i < 20; i++) {
			Set<String> written = new LinkedHashSet<>(this.unwritten);
			this.rejected.nextGroup(this.nowNanos).ifPresent(written::retainAll);
			this.rejected.rejected(written, this.refusal, this.nowNanos);
		}
		assertThat(this.rejected.heldBack()).isEmpty();
		writeAll();
		assertThat(this.rejected.heldBack()).containsExactly("job17");
		assertThat(this.unwritten).containsExactly("job17");
	}

	// Guards against attempts for rejected jobs that leave no writes to the others.
	@Test
	void otherJobsAreWrittenBetweenTheAttemptsForManyThatAreHeldBack() {
		this.unacceptable.addAll(this.unwritten);
		writeUntil(() -> this.rejected.heldBack().size() == this.unacceptable.size());
		this.nowNanos += TimeUnit.SECONDS.toNanos(1);
		for (int i = 0; i < 10; i++) {
			this.unwritten.add("other" + i);
			int writesBefore = this.writes;
			String other = "other" + i;
			writeUntil(() -> !this.unwritten.contains(other));
			assertThat(this.writes - writesBefore).isLessThanOrEqualTo(3);
		}
	}

	// Guards against blaming jobs while the table rejects everything.
	@Test
	void noJobIsHeldBackWhileWritesWithoutJobsAreRejectedAsWell() {
		for (int i = 0; i < 10; i++) {
			Set<String> written = new LinkedHashSet<>(this.unwritten);
			this.rejected.nextGroup(this.nowNanos).ifPresent(written::retainAll);
			this.lastCause = this.rejected.rejected(written, this.refusal, this.nowNanos);
			this.nowNanos += TimeUnit.SECONDS.toNanos(1);
		}
		assertThat(this.lastCause).isEqualTo(new RejectedRows.Cause.OtherRows());
		assertThat(this.rejected.heldBack()).isEmpty();
		writeAll();
		assertThat(this.unwritten).isEmpty();
	}

	@Test
	void noJobIsHeldBackAfterASingleRefusalOfEachGroup() {
		this.refusal = RejectedRows.Refusal.FOR_NOW;
		for (int i = 0; i < 10; i++) {
			this.unacceptable.add("job17");
			write();
			this.unacceptable.clear();
			write();
			write();
			assertThat(this.rejected.heldBack()).isEmpty();
			this.unwritten.add("job17");
		}
	}

	@Nested
	class OneOfManyJobs {

		@Test
		void isHeldBackWhileAllOthersAreWritten() {
			RejectedRowsTests.this.unacceptable.add("job17");
			writeAll();
			assertThat(RejectedRowsTests.this.unwritten).containsExactly("job17");
			assertThat(RejectedRowsTests.this.rejected.heldBack()).containsExactly("job17");
			assertThat(RejectedRowsTests.this.writes).isLessThan(20);
		}

		@Test
		void isGivenUpAfterThreeRejections() {
			RejectedRowsTests.this.unacceptable.add("job17");
			for (int i = 0; i < 3; i++) {
				writeAll();
				RejectedRowsTests.this.nowNanos += TimeUnit.SECONDS.toNanos(1);
			}
			assertThat(RejectedRowsTests.this.lastCause)
				.isEqualTo(new RejectedRows.Cause.RowsOfJob("job17", 3, RejectedRows.Verdict.GIVEN_UP));
		}

		@Test
		void isGivenUpLaterIfItIsRefusedForNow() {
			RejectedRowsTests.this.refusal = RejectedRows.Refusal.FOR_NOW;
			RejectedRowsTests.this.unacceptable.add("job17");
			writeAll();
			assertThat(RejectedRowsTests.this.rejected.heldBack()).containsExactly("job17");
			assertThat(RejectedRowsTests.this.lastCause)
				.isEqualTo(new RejectedRows.Cause.RowsOfJob("job17", 1, RejectedRows.Verdict.HELD_BACK));
			for (int i = 0; i < 19; i++) {
				RejectedRowsTests.this.nowNanos += TimeUnit.SECONDS.toNanos(1);
				writeAll();
			}
			assertThat(RejectedRowsTests.this.lastCause)
				.isEqualTo(new RejectedRows.Cause.RowsOfJob("job17", 20, RejectedRows.Verdict.GIVEN_UP));
		}

		@Test
		void isNoLongerHeldBackOnceItsRowsAreAccepted() {
			RejectedRowsTests.this.unacceptable.add("job17");
			writeAll();
			RejectedRowsTests.this.unacceptable.clear();
			write();
			assertThat(RejectedRowsTests.this.unwritten).containsExactly("job17");
			RejectedRowsTests.this.nowNanos += TimeUnit.SECONDS.toNanos(1);
			writeAll();
			assertThat(RejectedRowsTests.this.unwritten).isEmpty();
			assertThat(RejectedRowsTests.this.rejected.heldBack()).isEmpty();
		}

	}

}
