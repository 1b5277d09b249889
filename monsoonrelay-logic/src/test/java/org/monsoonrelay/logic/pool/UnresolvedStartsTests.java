package org.monsoonrelay.logic.pool;

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
		assertThat(this.starts.attempts()).containsExactly(Map.entry(TASK, 3));
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

}
