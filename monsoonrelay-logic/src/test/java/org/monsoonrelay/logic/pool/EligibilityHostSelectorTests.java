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

	private static final EligibilityTimes MEDIUM = new EligibilityTimes(69, 1, 2000);

	private static final EligibilityTimes LONG = new EligibilityTimes(699, 1, 2000);

	private final EligibilityHostSelector hosts = new EligibilityHostSelector(0);

	private long nowNanos;

	@BeforeEach
	void setUpHosts() {
		this.hosts.updateHosts(List.of("self", "b", "c", "d", "e", "f"));
		this.hosts.addKind(SHORT);
		this.hosts.addKind(LONG);
	}

	private String select(EligibilityTimes kind) {
		String host = this.hosts.select(kind, kind.costMillis(1), this.nowNanos).orElse("none");
		this.hosts.callStarted(host, kind, kind.costMillis(1), this.nowNanos);
		return host;
	}

	private void endCall(String host, EligibilityTimes kind) {
		this.hosts.callEnded(host, kind.costMillis(1));
	}

	// Makes calls that end at once: their load is recorded and no host stays busy.
	private void observeCalls(EligibilityTimes kind, int count, long spacingMillis) {
		for (int i = 0; i < count; i++) {
			this.nowNanos += TimeUnit.MILLISECONDS.toNanos(spacingMillis);
			endCall(select(kind), kind);
		}
	}

	private List<String> selectUntilNoneIsAvailable(EligibilityTimes kind) {
		return Stream.generate(() -> select(kind)).takeWhile((host) -> !host.equals("none")).toList();
	}

	@Test
	void longCallsLeaveHalfOfTheHostsToShortOnes() {
		assertThat(List.of(select(LONG), select(LONG), select(LONG), select(LONG))).containsExactly("f", "e", "d",
				"none");
		assertThat(select(SHORT)).isEqualTo("self");
	}

	@Test
	void shortCallsShareAHostUpToALimit() {
		for (int i = 0; i < 5; i++) {
			assertThat(select(SHORT)).isEqualTo("self");
		}
		assertThat(select(SHORT)).isEqualTo("b");
	}

	@Test
	void aFailedHostIsAvoidedForAWhile() {
		this.hosts.callFailed("self", this.nowNanos);
		assertThat(select(SHORT)).isEqualTo("b");
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(1501);
		assertThat(select(SHORT)).isEqualTo("self");
	}

	@Test
	void repeatedFailuresAvoidAHostForAtMostThreeSeconds() {
		this.hosts.updateHosts(List.of("self", "f"));
		for (int i = 0; i < 10; i++) {
			this.hosts.callFailed("f", this.nowNanos);
		}
		this.nowNanos += TimeUnit.MILLISECONDS.toNanos(3001);
		assertThat(select(LONG)).isEqualTo("f");
	}

	@Test
	void aRestartedHostIsUsedAtOnce() {
		this.hosts.callFailed("self", this.nowNanos);
		this.hosts.hostRestarted("self");
		assertThat(select(SHORT)).isEqualTo("self");
	}

	@Test
	void allHostsAreTriedWhenAllHaveFailed() {
		List.of("self", "b", "c", "d", "e", "f").forEach((host) -> this.hosts.callFailed(host, this.nowNanos));
		assertThat(select(LONG)).isEqualTo("f");
	}

	@Test
	void aHostWhoseCallsHaveAllEndedIsAvailableAgain() {
		this.hosts.updateHosts(List.of("self"));
		this.hosts.callStarted("self", SHORT, 0.1, this.nowNanos);
		this.hosts.callStarted("self", SHORT, 0.2, this.nowNanos);
		this.hosts.callEnded("self", 0.1);
		this.hosts.callEnded("self", 0.2);
		assertThat(select(LONG)).isEqualTo("self");
	}

	@Test
	void aSingleHostMakesAllCalls() {
		this.hosts.updateHosts(List.of("self"));
		assertThat(select(LONG)).isEqualTo("self");
	}

	@Nested
	class OnceTheLoadIsKnown {

		@Test
		void longCallsLeaveShortCallsTheHostsTheyNeed() {
			// A mean load of 0.3 hosts, for which square-root staffing reserves 1.4.
			observeCalls(SHORT, 400, 33);
			assertThat(selectUntilNoneIsAvailable(LONG)).containsExactly("f", "e", "d", "c");
		}

		@Test
		void longCallsUseHalfOfTheHostsHoweverManyShortCallsCome() {
			observeCalls(SHORT, 4000, 2);
			assertThat(selectUntilNoneIsAvailable(LONG)).containsExactly("f", "e", "d");
		}

		@Test
		void longCallsUseNearlyAllOfManyHosts() {
			List<String> many = IntStream.range(0, 47).mapToObj((i) -> "h" + i).toList();
			EligibilityHostSelectorTests.this.hosts.updateHosts(many);
			// A mean load of 2.5 hosts, for which square-root staffing reserves 5.7.
			observeCalls(SHORT, 3000, 4);
			assertThat(selectUntilNoneIsAvailable(LONG)).hasSize(41);
		}

		@Test
		void atLeastOneHostIsReservedForCallsThatHaveNotComeRecently() {
			observeCalls(SHORT, 10, 10);
			EligibilityHostSelectorTests.this.nowNanos += TimeUnit.MINUTES.toNanos(1);
			assertThat(selectUntilNoneIsAvailable(LONG)).containsExactly("f", "e", "d", "c", "b");
			assertThat(select(SHORT)).isEqualTo("self");
		}

		@Test
		void callsOfMediumCostLeaveTheSameHostsToShortCalls() {
			EligibilityHostSelectorTests.this.hosts.addKind(MEDIUM);
			observeCalls(SHORT, 400, 33);
			assertThat(selectUntilNoneIsAvailable(LONG)).hasSize(4);
			assertThat(select(MEDIUM)).isEqualTo("none");
			assertThat(select(SHORT)).isEqualTo("self");
		}

	}

	@Nested
	class Precedence {

		@Test
		void goesToCheapKindsThatNeedFewHosts() {
			observeCalls(SHORT, 400, 33);
			assertThat(precedence(SHORT)).isLessThan(precedence(LONG));
		}

		@Test
		void isTheSameForKindsThatTakeMoreThanHalfOfTheHosts() {
			observeCalls(SHORT, 4000, 4);
			assertThat(precedence(SHORT)).isEqualTo(precedence(LONG));
		}

		private int precedence(EligibilityTimes kind) {
			return EligibilityHostSelectorTests.this.hosts.precedence(kind, EligibilityHostSelectorTests.this.nowNanos);
		}

	}

}
