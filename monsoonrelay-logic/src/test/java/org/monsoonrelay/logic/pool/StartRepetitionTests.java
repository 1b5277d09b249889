package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.StepSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which unanswered starts may be sent again.
 */
class StartRepetitionTests {

	private static StepSpec step(boolean isSpeculative, boolean isLongRunning) {
		return new StepSpec(1, SimulatedCell.TASK, 500, List.of(), false, false, "", "", 0, isSpeculative, false,
				isLongRunning, false);
	}

	@Test
	void theStartOfATaskThatMustRunOnceIsNotRepeated() {
		assertThat(StartRepetition.isHarmless(step(false, false), "")).isFalse();
	}

	@Test
	void aStartWithATicketIsRepeatedBecauseAnotherIncarnationRefusesTheTicket() {
		assertThat(StartRepetition.isHarmless(step(false, false), "ticket")).isTrue();
	}

	@Test
	void theStartOfATaskThatMayRunSeveralTimesIsRepeated() {
		assertThat(StartRepetition.isHarmless(step(true, false), "")).isTrue();
		assertThat(StartRepetition.isHarmless(step(false, true), "")).isTrue();
	}

}
