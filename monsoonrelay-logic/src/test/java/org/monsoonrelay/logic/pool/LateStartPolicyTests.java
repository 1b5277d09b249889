package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.StepSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which starts may be executed by a later incarnation of their worker.
 */
class LateStartPolicyTests {

	private static StepSpec step(boolean isSpeculative, boolean isLongRunning) {
		return new StepSpec(1, SimulatedCell.TASK, 500, List.of(), false, false, "", "", 0, isSpeculative, false,
				isLongRunning, false);
	}

	@Test
	void theStartOfATaskThatMustRunOnceIsHarmful() {
		assertThat(LateStartPolicy.isHarmless(step(false, false), "")).isFalse();
	}

	@Test
	void aStartWithATicketIsHarmlessBecauseAnotherIncarnationRefusesIt() {
		assertThat(LateStartPolicy.isHarmless(step(false, false), "ticket")).isTrue();
	}

	@Test
	void theStartOfATaskThatNeedNotRunOnceIsHarmless() {
		assertThat(LateStartPolicy.isHarmless(step(true, false), "")).isTrue();
		assertThat(LateStartPolicy.isHarmless(step(false, true), "")).isTrue();
	}

}
