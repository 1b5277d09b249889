package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.submission.EligibilityTimes;

import static org.assertj.core.api.Assertions.assertThat;

class EligibilityHostSelectorTests {

	private static final EligibilityTimes SHORT = new EligibilityTimes(9, 1, 2000);

	private static final EligibilityTimes MIDDLE = new EligibilityTimes(69, 1, 2000);

	private static final EligibilityTimes LONG = new EligibilityTimes(699, 1, 2000);

	private final EligibilityHostSelector hosts = new EligibilityHostSelector(0);

	private long nowNanos;

	@BeforeEach
	void nameHosts() {
		this.hosts.updateHosts(List.of("self", "b", "c", "d", "e", "f"));
		this.hosts.addKind(SHORT);
		this.hosts.addKind(LONG);
	}

	private String choose(EligibilityTimes kind) {
		String host = this.hosts.select(kind, kind.costMillis(1), this.nowNanos).orElse("none");
		this.hosts.callStarted(host, kind, kind.costMillis(1), this.nowNanos);
		return host;
	}

	private void end(String host, EligibilityTimes kind) {
		this.hosts.callEnded(host, kind.costMillis(1));
	}

	// Calls of a kind that end as they come, so that they are known and no host is busy.
	private void observe(EligibilityTimes kind, int count, long spacingMillis) {
		for (int i = 0; i < count; i++) {
			this.nowNanos += TimeUnit.MILLISECONDS.toNanos(spacingMillis);
			end(choose(kind), kind);
		}
	}

	private List<String> chooseWhileThereAre(EligibilityTimes kind) {
		return Stream.generate(() -> choose(kind)).takeWhile((host) -> !host.equals("none")).toList();
	}

	@Test
	void longCallsLeaveHalfOfTheHostsToShortOnes() {
		assertThat(List.of(choose(LONG), choose(LONG), choose(LONG), choose(LONG))).containsExactly("f", "e", "d",
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
		this.hosts.callFailed("self", this.nowNanos);
		assertThat(choose(SHORT)).isEqualTo("b");
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(1501);
		assertThat(choose(SHORT)).isEqualTo("self");
	}

	@Test
	void repeatedFailuresKeepNoHostOutForLongerThanThreeSeconds() {
		this.hosts.updateHosts(List.of("self", "f"));
		for (int i = 0; i < 10; i++) {
			this.hosts.callFailed("f", this.nowNanos);
		}
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(3001);
		assertThat(choose(LONG)).isEqualTo("f");
	}

	@Test
	void aHostThatStartedAnewIsUsedAtOnce() {
		this.hosts.callFailed("self", this.nowNanos);
		this.hosts.hostRestarted("self");
		assertThat(choose(SHORT)).isEqualTo("self");
	}

	@Test
	void allHostsAreTriedWhenAllHaveFailed() {
		List.of("self", "b", "c", "d", "e", "f").forEach((host) -> this.hosts.callFailed(host, this.nowNanos));
		assertThat(choose(LONG)).isEqualTo("f");
	}

	@Test
	void aHostWhoseCallsHaveAllEndedHasTimeAgain() {
		this.hosts.updateHosts(List.of("self"));
		this.hosts.callStarted("self", SHORT, 0.1, this.nowNanos);
		this.hosts.callStarted("self", SHORT, 0.2, this.nowNanos);
		this.hosts.callEnded("self", 0.1);
		this.hosts.callEnded("self", 0.2);
		assertThat(choose(LONG)).isEqualTo("self");
	}

	@Test
	void aSingleHostMakesAllCalls() {
		this.hosts.updateHosts(List.of("self"));
		assertThat(choose(LONG)).isEqualTo("self");
	}

	@Nested
	class OnceTheLoadIsKnown {

		@Test
		void longCallsLeaveToShortOnesWhatTheseNeed() {
			// Three tenths of a host, which is staffed with 1.4.
			observe(SHORT, 400, 33);
			assertThat(chooseWhileThereAre(LONG)).containsExactly("f", "e", "d", "c");
		}

		@Test
		void longCallsLeaveHalfOfTheHostsHoweverMuchShortOnesTake() {
			observe(SHORT, 4000, 2);
			assertThat(chooseWhileThereAre(LONG)).containsExactly("f", "e", "d");
		}

		@Test
		void longCallsUseNearlyAllOfManyHosts() {
			List<String> many = IntStream.range(0, 47).mapToObj((i) -> "h" + i).toList();
			EligibilityHostSelectorTests.this.hosts.updateHosts(many);
			// Two and a half hosts, which are staffed with 5.7.
			observe(SHORT, 3000, 4);
			assertThat(chooseWhileThereAre(LONG)).hasSize(41);
		}

		@Test
		void oneHostAtLeastIsLeftToCallsThatHaveNotComeForLong() {
			observe(SHORT, 10, 10);
			EligibilityHostSelectorTests.this.nowNanos += TimeUnit.MINUTES.toNanos(1);
			assertThat(chooseWhileThereAre(LONG)).containsExactly("f", "e", "d", "c", "b");
			assertThat(choose(SHORT)).isEqualTo("self");
		}

		@Test
		void callsOfAMiddleKindLeaveTheSameToShortOnes() {
			EligibilityHostSelectorTests.this.hosts.addKind(MIDDLE);
			observe(SHORT, 400, 33);
			assertThat(chooseWhileThereAre(LONG)).hasSize(4);
			assertThat(choose(MIDDLE)).isEqualTo("none");
			assertThat(choose(SHORT)).isEqualTo("self");
		}

	}

	@Nested
	class Precedence {

		@Test
		void goesToCheapKindsThatHardlyTakeFromTheOthers() {
			observe(SHORT, 400, 33);
			assertThat(precedence(SHORT)).isLessThan(precedence(LONG));
		}

		@Test
		void isTheSameForKindsThatTakeMoreThanHalfOfTheHosts() {
			observe(SHORT, 4000, 4);
			assertThat(precedence(SHORT)).isEqualTo(precedence(LONG));
		}

		private int precedence(EligibilityTimes kind) {
			return EligibilityHostSelectorTests.this.hosts.precedence(kind, EligibilityHostSelectorTests.this.nowNanos);
		}

	}

}
