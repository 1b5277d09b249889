package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.TaskKey;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against acknowledging an end that is listed after its number was passed before
 * the end is durable.
 */
class LateEndsInPassedGapsTests {

	private final TerminationSequence sequence = new TerminationSequence();

	private static TerminatedTask end(long number) {
		return new TerminatedTask(number, new TaskKey("job", 0, 0, (int) number), 1, TerminationReason.DONE, "");
	}

	@Test
	void areNotDurableWithAnEarlierWrite() {
		this.sequence.markProcessed(end(1), 0);
		this.sequence.markProcessed(end(3), 0);
		this.sequence.defer(List.of());
		assertThat(this.sequence.passGaps(TimeUnit.MILLISECONDS.toNanos(200))).hasSize(1);
		this.sequence.markDurable(this.sequence.written(Set.of()), 10);
		assertThat(this.sequence.hasProcessed(end(2))).isFalse();
		this.sequence.markProcessed(end(2), TimeUnit.MILLISECONDS.toNanos(210));
		this.sequence.defer(List.of());
		assertThat(this.sequence.isDurable()).as("durable up to " + this.sequence.durable()).isFalse();
	}

}
