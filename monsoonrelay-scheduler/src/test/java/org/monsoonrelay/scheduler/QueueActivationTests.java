package org.monsoonrelay.scheduler;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class QueueActivationTests {

	private static final Duration MOMENT = Duration.ofNanos(1);

	private final List<String> active = new ArrayList<>();

	private final List<String> claimed = new ArrayList<>();

	private long nanos;

	private final QueueActivation activation = new QueueActivation(() -> this.nanos, this.active::contains,
			this.active::add, this.claimed::add);

	private void pass(Duration time) {
		this.nanos += time.toNanos();
	}

	@Test
	void aQueueBeginsOnceAllRacksAreKnownAndTheirOwnersHadTimeToTell() {
		this.activation.owned("crew");
		pass(QueueActivation.CLAIM);
		this.activation.round(true);
		assertThat(this.active).isEmpty();
		assertThat(this.claimed).containsExactly("crew");
		pass(MOMENT);
		this.activation.round(true);
		assertThat(this.active).containsExactly("crew");
		assertThat(this.claimed).containsExactly("crew");
	}

	@Test
	void aQueueBeginsAfterTheLimitThoughSomeRacksAreNotKnown() {
		this.activation.owned("crew");
		pass(QueueActivation.LIMIT);
		this.activation.round(false);
		assertThat(this.active).isEmpty();
		pass(MOMENT);
		this.activation.round(false);
		assertThat(this.active).containsExactly("crew");
	}

	@Test
	void anActiveQueueIsLeftAlone() {
		this.active.add("crew");
		this.activation.owned("crew");
		pass(QueueActivation.LIMIT.plus(MOMENT));
		this.activation.round(true);
		assertThat(this.active).containsExactly("crew");
		assertThat(this.claimed).isEmpty();
	}

	@Test
	void aQueueThatIsOwnedAgainWaitsAnew() {
		this.activation.owned("crew");
		pass(QueueActivation.CLAIM.plus(MOMENT));
		this.activation.owned("crew");
		this.activation.disowned("crew");
		this.activation.owned("crew");
		this.activation.round(true);
		assertThat(this.active).isEmpty();
	}

}
