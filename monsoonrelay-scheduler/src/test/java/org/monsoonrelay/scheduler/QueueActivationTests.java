package org.monsoonrelay.scheduler;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class QueueActivationTests {

	private static final Duration ONE_NANOSECOND = Duration.ofNanos(1);

	private final List<String> active = new ArrayList<>();

	private final List<String> claimed = new ArrayList<>();

	private long nanos;

	private final QueueActivation activation = new QueueActivation(() -> this.nanos, this.active::contains,
			this.active::add, this.claimed::add);

	private void advanceClock(Duration time) {
		this.nanos += time.toNanos();
	}

	@Test
	void aQueueStartsOnceAllRacksAreKnownAndTheirOwnersHadTimeToReport() {
		this.activation.ownershipAcquired("crew");
		advanceClock(QueueActivation.CLAIM_WAIT);
		this.activation.runRound(true);
		assertThat(this.active).isEmpty();
		assertThat(this.claimed).containsExactly("crew");
		advanceClock(ONE_NANOSECOND);
		this.activation.runRound(true);
		assertThat(this.active).containsExactly("crew");
		assertThat(this.claimed).containsExactly("crew");
	}

	@Test
	void aQueueStartsAfterTheMaximumWaitWhenSomeRacksAreUnknown() {
		this.activation.ownershipAcquired("crew");
		advanceClock(QueueActivation.MAX_WAIT);
		this.activation.runRound(false);
		assertThat(this.active).isEmpty();
		advanceClock(ONE_NANOSECOND);
		this.activation.runRound(false);
		assertThat(this.active).containsExactly("crew");
	}

	@Test
	void anActiveQueueIsNotActivatedAgain() {
		this.active.add("crew");
		this.activation.ownershipAcquired("crew");
		advanceClock(QueueActivation.MAX_WAIT.plus(ONE_NANOSECOND));
		this.activation.runRound(true);
		assertThat(this.active).containsExactly("crew");
		assertThat(this.claimed).isEmpty();
	}

	@Test
	void aQueueWhoseOwnershipIsReacquiredWaitsAgain() {
		this.activation.ownershipAcquired("crew");
		advanceClock(QueueActivation.CLAIM_WAIT.plus(ONE_NANOSECOND));
		this.activation.ownershipAcquired("crew");
		this.activation.ownershipReleased("crew");
		this.activation.ownershipAcquired("crew");
		this.activation.runRound(true);
		assertThat(this.active).isEmpty();
	}

}
