package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

class InheritedWorkersTests {

	private static final long KNOWN_MILLIS = 5000;

	private static final long LONGEST_MILLIS = OwnerLease.MAX_FORMER_LEASE_MILLIS;

	private static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

	private final InheritedWorkers inherited = new InheritedWorkers();

	private static long nanosAfterKnown(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(KNOWN_MILLIS + millis);
	}

	private static TakeOver takeOver(OwnerRecord former) {
		return new TakeOver(former, 2, 0, 0, former, nanosAfterKnown(0), nanosAfterKnown(LONGEST_MILLIS), 0, 0);
	}

	private void restore(List<String> workers, Map<String, List<String>> closed, Map<String, Long> silent) {
		this.inherited.restore(takeOver(new OwnerRecord("h", "s0", 100, 1, false, workers, closed, HostSize.UNKNOWN,
				List.of(), true, true, Map.of(), Map.of(), silent, Map.of(), 0L, "")));
	}

	private List<String> expire(long millisAfterKnown) {
		return this.inherited.expire(nanosAfterKnown(millisAfterKnown), (id) -> false)
			.stream()
			.map(InheritedWorkers.Expired::id)
			.toList();
	}

	@Test
	void expireEachAtAnEndOfItsOwn() {
		restore(List.of("answered", "silent"), Map.of(), Map.of("silent", 3000L));
		assertThat(expire(3000)).isEmpty();
		assertThat(expire(3001)).containsExactly("silent");
		assertThat(this.inherited.areReconciled()).isFalse();
		assertThat(this.inherited.isUnreconciled("silent")).isFalse();
		assertThat(expire(LONGEST_MILLIS)).isEmpty();
		assertThat(expire(LONGEST_MILLIS + 1)).containsExactly("answered");
		assertThat(this.inherited.areReconciled()).isTrue();
	}

	@Test
	void expireAtOnceIfTheLeasesHadEndedBefore() {
		restore(List.of("w"), Map.of(), Map.of("w", 0L));
		assertThat(expire(1)).containsExactly("w");
	}

	@Test
	void expireAtTheLatestWhenNoFormerOwnerCanHaveGrantedALease() {
		restore(List.of("w"), Map.of(), Map.of("w", 2 * LONGEST_MILLIS));
		assertThat(expire(LONGEST_MILLIS + 1)).containsExactly("w");
	}

	@Test
	void tellTheTasksOfAnExpiredWorker() {
		restore(List.of("any"), Map.of("closed", List.of(TASK.toString())), Map.of("closed", 3000L));
		assertThat(this.inherited.mayRunUnconfirmed(TASK, (job) -> true)).isTrue();
		assertThat(this.inherited.expire(nanosAfterKnown(3001), (id) -> false))
			.containsExactly(new InheritedWorkers.Expired("closed", false, Set.of(TASK)));
		assertThat(this.inherited.mayRunUnconfirmed(TASK, (job) -> true)).isFalse();
		assertThat(this.inherited.expire(nanosAfterKnown(LONGEST_MILLIS + 1), (id) -> false))
			.containsExactly(new InheritedWorkers.Expired("any", true, Set.of()));
	}

	@Test
	void doNotExpireOnceTheyHaveReported() {
		restore(List.of("w"), Map.of(), Map.of());
		this.inherited.markReconciled("w");
		assertThat(expire(LONGEST_MILLIS + 1)).isEmpty();
	}

	@Test
	void tellTheTimeThatRemainsForEachAndForAll() {
		restore(List.of("answered", "silent"), Map.of(), Map.of("silent", 3000L));
		long now = nanosAfterKnown(1000);
		assertThat(this.inherited.remainingMillis("silent", now)).isBetween(2000L, 2001L);
		assertThat(this.inherited.remainingMillis("answered", now)).isBetween(LONGEST_MILLIS - 1000,
				LONGEST_MILLIS - 999);
		assertThat(this.inherited.remainingMillis("other", now)).isZero();
		assertThat(this.inherited.maxRemainingMillis(now)).isEqualTo(this.inherited.remainingMillis("answered", now));
		this.inherited.markReconciled("answered");
		assertThat(this.inherited.maxRemainingMillis(now)).isEqualTo(this.inherited.remainingMillis("silent", now));
		assertThat(this.inherited.maxRemainingMillis(nanosAfterKnown(2 * LONGEST_MILLIS))).isZero();
	}

	@Nested
	class LeasesOfAReportingWorker {

		private static final long STARTED = 17;

		private final InheritedWorkers inherited = InheritedWorkersTests.this.inherited;

		private OptionalLong end(OptionalLong startedMillis) {
			return this.inherited.leaseEndNanos("w",
					new PollOutcome.Report(startedMillis, 1, List.of(), List.of(), true));
		}

		private void restore(List<String> workers, Map<String, List<String>> closed, Map<String, Long> incarnations,
				Map<String, Long> silent) {
			this.inherited.restore(takeOver(new OwnerRecord("h", "s0", 100, 1, false, workers, closed, HostSize.UNKNOWN,
					List.of(), true, true, incarnations, Map.of(), silent, Map.of(), 0L, "")));
		}

		@Test
		void endWithThoseOfTheFormerOwner() {
			restore(List.of("w"), Map.of(), Map.of("w", STARTED), Map.of());
			assertThat(end(OptionalLong.of(STARTED))).hasValue(nanosAfterKnown(LONGEST_MILLIS));
			this.inherited.markReconciled("w");
			assertThat(end(OptionalLong.of(STARTED))).isEmpty();
		}

		@Test
		void mayEndLaterOnAnotherIncarnation() {
			restore(List.of("w"), Map.of(), Map.of("w", STARTED), Map.of());
			assertThat(end(OptionalLong.of(STARTED + 1))).isEmpty();
		}

		@Test
		void mayEndLaterIfOnlyOneStartIsKnown() {
			restore(List.of("w"), Map.of(), Map.of("w", STARTED), Map.of());
			assertThat(end(OptionalLong.empty())).isEmpty();
			this.inherited.markReconciled("w");
			restore(List.of("w"), Map.of(), Map.of(), Map.of());
			assertThat(end(OptionalLong.of(STARTED))).isEmpty();
		}

		@Test
		void endWithThoseOfTheFormerOwnerIfTheIdAloneNamesTheIncarnation() {
			restore(List.of("w"), Map.of(), Map.of(), Map.of());
			assertThat(end(OptionalLong.empty())).hasValue(nanosAfterKnown(LONGEST_MILLIS));
		}

		@Test
		void mayEndLaterIfTheIncarnationHadNotAnsweredTheFormerOwner() {
			restore(List.of("w"), Map.of(), Map.of("w", STARTED), Map.of("w", 3000L));
			assertThat(end(OptionalLong.of(STARTED))).isEmpty();
		}

		@Test
		void mayEndLaterIfTheWorkerWasNotUsable() {
			restore(List.of(), Map.of("w", List.of(TASK.toString())), Map.of("w", STARTED), Map.of());
			assertThat(end(OptionalLong.of(STARTED))).isEmpty();
		}

	}

}
