package org.monsoonrelay.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RequestMemoryLimiterTests {

	private final RequestMemoryLimiter limiter = new RequestMemoryLimiter(10);

	@Test
	void refusesBytesBeyondTheLimitUntilSomeAreReleased() {
		assertThat(this.limiter.tryAcquire(8)).isTrue();
		assertThat(this.limiter.tryAcquire(3)).isFalse();
		assertThat(this.limiter.tryAcquire(2)).isTrue();
		this.limiter.release(8);

		assertThat(this.limiter.tryAcquire(8)).isTrue();
	}

}
