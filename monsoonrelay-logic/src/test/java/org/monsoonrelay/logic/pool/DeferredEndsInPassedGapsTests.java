package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against acknowledging an end that is listed after its number was passed while it
 * waits for its job to be loaded.
 */
class DeferredEndsInPassedGapsTests {

	private final TerminationSequence sequence = new TerminationSequence();

	private static TerminatedTask end(long number) {
		return new TerminatedTask(number, new TaskKey("job", 0, 0, (int) number), 1, TerminationReason.DONE, "");
	}

	@BeforeEach
	void passTheSecondOfThreeNumbers() {
		this.sequence.markProcessed(end(1), 0);
		this.sequence.markProcessed(end(3), 0);
		this.sequence.defer(List.of());
		assertThat(this.sequence.passGaps(TimeUnit.MILLISECONDS.toNanos(200))).hasSize(1);
	}

	@Test
	void areNotAcknowledgeable() {
		this.sequence.markDurable(this.sequence.written(Set.of()), 10);
		this.sequence.defer(List.of(end(2)));
		assertThat(this.sequence.durable()).isLessThan(2);
	}

	@Test
	void areNotMadeDurableByAWriteWithoutThem() {
		this.sequence.defer(List.of(end(2)));
		this.sequence.markDurable(this.sequence.written(Set.of()), 10);
		assertThat(this.sequence.durable()).isLessThan(2);
	}

}
