package org.monsoonrelay.scheduler.pool;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ControlThreadTests {

	private final List<Integer> exitCodes = new CopyOnWriteArrayList<>();

	private final ControlThread control = new ControlThread("control", this.exitCodes::add);

	@AfterEach
	void shutDown() {
		this.control.shutdownNow();
	}

	private void awaitEnd() throws InterruptedException {
		this.control.shutdown();
		assertThat(this.control.awaitTermination(10, TimeUnit.SECONDS)).isTrue();
	}

	@Test
	void aTaskThatSchedulesAnotherWhileTheThreadIsShutDownDoesNotHaltTheProcess() throws InterruptedException {
		this.control.execute(() -> {
			this.control.shutdownNow();
			this.control.schedule(() -> {
			}, 1, TimeUnit.MILLISECONDS);
		});
		awaitEnd();
		assertThat(this.exitCodes).isEmpty();
	}

	@Test
	void aTaskThatFailsHaltsTheProcess() throws InterruptedException {
		this.control.execute(() -> {
			throw new IllegalStateException("expected in this test");
		});
		awaitEnd();
		assertThat(this.exitCodes).containsExactly(70);
	}

	@Test
	void aTaskThatFailsWhileTheThreadIsShutDownHaltsTheProcess() throws InterruptedException {
		this.control.execute(() -> {
			this.control.shutdownNow();
			throw new IllegalStateException("expected in this test");
		});
		awaitEnd();
		assertThat(this.exitCodes).containsExactly(70);
	}

}
