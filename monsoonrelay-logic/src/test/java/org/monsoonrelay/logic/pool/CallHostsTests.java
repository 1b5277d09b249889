package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CallHostsTests {

	private static final double SHORT = 10;

	private static final double LONG = 700;

	private final CallHosts hosts = new CallHosts();

	private long nowNanos;

	@BeforeEach
	void nameHosts() {
		this.hosts.update(List.of("self", "b", "c", "d", "e", "f"));
	}

	private String choose(double cost) {
		String host = this.hosts.choose(cost, this.nowNanos).orElse("none");
		this.hosts.begun(host, cost);
		return host;
	}

	@Test
	void longCallsLeaveHalfOfTheHostsToShortOnes() {
		assertThat(List.of(choose(LONG), choose(LONG), choose(LONG), choose(LONG))).containsExactly("d", "e", "f",
				"none");
		assertThat(choose(SHORT)).isEqualTo("self");
	}

	@Test
	void shortCallsShareAHostUpToALimit() {
		for (int i = 0; i < 5; i++) {
			assertThat(choose(SHORT)).isEqualTo("self");
		}
		assertThat(choose(SHORT)).isEqualTo("b");
	}

	@Test
	void aHostThatFailedIsLeftOutForAWhile() {
		this.hosts.failed("self", this.nowNanos);
		assertThat(choose(SHORT)).isEqualTo("b");
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(1501);
		assertThat(choose(SHORT)).isEqualTo("self");
	}

	@Test
	void repeatedFailuresKeepNoHostOutForLongerThanThreeSeconds() {
		this.hosts.update(List.of("self", "f"));
		for (int i = 0; i < 10; i++) {
			this.hosts.failed("f", this.nowNanos);
		}
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(3001);
		assertThat(choose(LONG)).isEqualTo("f");
	}

	@Test
	void aHostThatStartedAnewIsUsedAtOnce() {
		this.hosts.failed("self", this.nowNanos);
		this.hosts.restarted("self");
		assertThat(choose(SHORT)).isEqualTo("self");
	}

	@Test
	void allHostsAreTriedWhenAllHaveFailed() {
		List.of("self", "b", "c", "d", "e", "f").forEach((host) -> this.hosts.failed(host, this.nowNanos));
		assertThat(choose(LONG)).isEqualTo("d");
	}

	@Test
	void aHostWhoseCallsHaveAllEndedHasTimeAgain() {
		this.hosts.update(List.of("self"));
		this.hosts.begun("self", 0.1);
		this.hosts.begun("self", 0.2);
		this.hosts.ended("self", 0.1);
		this.hosts.ended("self", 0.2);
		assertThat(choose(LONG)).isEqualTo("self");
	}

	@Test
	void aSingleHostMakesAllCalls() {
		this.hosts.update(List.of("self"));
		assertThat(choose(LONG)).isEqualTo("self");
	}

}
