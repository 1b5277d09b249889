package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests until when a task waits for a start that may still be executed.
 */
class UnresolvedStartsTests {

	private static final TaskKey TASK = new TaskKey("a", 0, 0, 0);

	private static final long SENT_NANOS = 1000;

	private static final long EXPIRY_NANOS = SENT_NANOS
			+ TimeUnit.MILLISECONDS.toNanos(UnresolvedStarts.MAX_EXECUTION_DELAY_MILLIS);

	private final UnresolvedStarts starts = new UnresolvedStarts();

	@BeforeEach
	void recordStart() {
		this.starts.record(TASK, 3, SENT_NANOS);
	}

	@Test
	void aStartIsKeptWhileItMayBeExecuted() {
		this.starts.expire(EXPIRY_NANOS - 1);
		assertThat(this.starts.contains(TASK)).isTrue();
		assertThat(this.starts.ageMillis(TASK, 3, EXPIRY_NANOS - 1))
			.hasValue(UnresolvedStarts.MAX_EXECUTION_DELAY_MILLIS - 1);
		assertThat(this.starts.contains(new TaskKey("a", 0, 0, 1))).isFalse();
	}

	@Test
	void aStartThatIsTooOldIsLost() {
		this.starts.expire(EXPIRY_NANOS);
		assertThat(this.starts.isEmpty()).isTrue();
	}

	@Test
	void aStartIsResolvedByAReportOfItsAttemptOnly() {
		this.starts.resolve(TASK, 2);
		assertThat(this.starts.contains(TASK)).isTrue();
		this.starts.resolve(TASK, 3);
		assertThat(this.starts.isEmpty()).isTrue();
	}

	@Test
	void anUnansweredStartIsRecordedOnce() {
		assertThat(this.starts.needsRecording(SENT_NANOS)).isFalse();
		assertThat(this.starts.needsRecording(EXPIRY_NANOS)).isTrue();
		this.starts.toRecord(EXPIRY_NANOS);
		assertThat(this.starts.needsRecording(EXPIRY_NANOS)).isFalse();
	}

	@Test
	void theStartsInARecordAreRestored() {
		UnresolvedStarts next = new UnresolvedStarts();
		assertThat(next.restore(recordWith(this.starts.toRecord(SENT_NANOS), Map.of()), SENT_NANOS, EXPIRY_NANOS))
			.containsExactly(Map.entry(TASK, 3));
		next.expire(EXPIRY_NANOS);
		assertThat(next.contains(TASK)).isTrue();
	}

	@Test
	void aRestoredStartIsKeptNoLongerThanItMayBeExecuted() {
		UnresolvedStarts next = new UnresolvedStarts();
		long composedNanos = SENT_NANOS + TimeUnit.MILLISECONDS.toNanos(5000);
		long knownNanos = composedNanos + TimeUnit.MILLISECONDS.toNanos(30);
		next.restore(recordWith(this.starts.toRecord(composedNanos), this.starts.expiriesToRecord(composedNanos)),
				knownNanos, EXPIRY_NANOS - 1);
		next.expire(EXPIRY_NANOS);
		assertThat(next.contains(TASK)).isTrue();
		next.expire(EXPIRY_NANOS + knownNanos - composedNanos);
		assertThat(next.contains(TASK)).isFalse();
	}

	@Test
	void aRecordTellsNoExpiryOfARequestThatMayBeSentAgain() {
		assertThat(this.starts.expiriesToRecord(SENT_NANOS + TimeUnit.MILLISECONDS.toNanos(990))).isEmpty();
		assertThat(this.starts.expiriesToRecord(SENT_NANOS + TimeUnit.MILLISECONDS.toNanos(1500)))
			.containsExactly(Map.entry("a.0.0.0", UnresolvedStarts.MAX_EXECUTION_DELAY_MILLIS - 1500));
	}

	private static OwnerRecord recordWith(Map<String, Integer> attempts, Map<String, Long> expiries) {
		return new OwnerRecord("h", "s0", 100, 1, false, List.of(), Map.of(), HostSize.UNKNOWN, List.of(), true, true,
				Map.of(), attempts, Map.of(), expiries, 0L, "");
	}

	@Test
	void aNameInARecordThatIsNoTaskIsIgnored() {
		assertThat(this.starts.restore(recordWith(Map.of("no task", 1), Map.of()), 0, 0)).isEmpty();
	}

	@Test
	void aRecordHasTheLatestStartsIfThereAreTooMany() {
		for (int i = 1; i <= UnresolvedStarts.MAX_RECORDED; i++) {
			this.starts.record(new TaskKey("b", 0, 0, i), 1, SENT_NANOS + i);
		}
		assertThat(this.starts.toRecord(EXPIRY_NANOS)).hasSize(UnresolvedStarts.MAX_RECORDED)
			.doesNotContainKey("a.0.0.0");
	}

}
