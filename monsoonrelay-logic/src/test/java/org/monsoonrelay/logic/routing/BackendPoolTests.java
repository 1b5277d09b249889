package org.monsoonrelay.logic.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.fakes.ManualTime;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;

import static org.assertj.core.api.Assertions.assertThat;

class BackendPoolTests {

	private static final AttemptResult WHOLE = new AttemptResult.Answered(200, List.of(), new byte[0]);

	private static final AttemptResult SERVER_ERROR = new AttemptResult.Answered(500, List.of(), new byte[0]);

	private static final AttemptResult BROKEN = new AttemptResult.Incomplete(true, "timeout");

	private static final AttemptResult FULL = new AttemptResult.Refused(false);

	private static final AttemptResult LEAVING = new AttemptResult.Refused(true);

	private static final Duration EJECTION = Duration.ofSeconds(1);

	private static final Duration RETURN_STEP = Duration.ofMillis(500);

	private final ManualTime time = new ManualTime(Instant.parse("2026-12-02T06:00:00Z"));

	private final BackendPool pool = new BackendPool(8, "domain-a", this.time,
			RandomSource.XO_RO_SHI_RO_128_PP.create(1L));

	private static Host host(int number, String incarnation, String failureDomain, HostState state) {
		return new Host("server-" + number, address(number), HostKind.BACKEND_SERVER, incarnation, failureDomain,
				"rack", "desk", state, Resources.NONE);
	}

	private static Host host(int number) {
		return host(number, number + "-start-1", "domain-a", HostState.LIVE);
	}

	private static HostAddress address(int number) {
		return new HostAddress("10.0.0." + number, 9200);
	}

	private void list(Host... hosts) {
		this.pool.update(List.of(hosts));
	}

	private void listServers(int count) {
		this.pool.update(IntStream.rangeClosed(1, count).mapToObj(BackendPoolTests::host).toList());
	}

	private BackendSlot acquire() {
		return this.pool.acquire(Set.of()).orElseThrow();
	}

	private List<BackendSlot> acquireAll() {
		return Stream.generate(() -> this.pool.acquire(Set.of()))
			.takeWhile(Optional::isPresent)
			.map(Optional::get)
			.toList();
	}

	private long count(List<BackendSlot> slots, int server) {
		return slots.stream().filter((slot) -> slot.address().equals(address(server))).count();
	}

	private void failOnly(int server, int times, AttemptResult failure) {
		List<BackendSlot> others = new ArrayList<>();
		int failed = 0;
		while (failed < times) {
			BackendSlot slot = acquire();
			if (slot.address().equals(address(server))) {
				this.pool.release(slot, failure);
				failed++;
			}
			else {
				others.add(slot);
			}
		}
		others.forEach((slot) -> this.pool.release(slot, WHOLE));
	}

	@Nested
	class AfterRefusals {

		@Test
		void aFullServerKeepsWhatItHasAndGetsNoMoreUntilThePauseEnds() {
			list(host(1));
			BackendSlot accepted = acquire();
			BackendSlot refused = acquire();

			BackendPoolTests.this.pool.release(refused, FULL);
			Optional<BackendSlot> more = BackendPoolTests.this.pool.acquire(Set.of());
			BackendPoolTests.this.pool.release(accepted, WHOLE);
			Optional<BackendSlot> freed = BackendPoolTests.this.pool.acquire(Set.of());
			BackendPoolTests.this.time.advance(Duration.ofMillis(2));

			assertThat(more).isEmpty();
			assertThat(freed).isPresent();
			assertThat(BackendPoolTests.this.pool.acquire(Set.of())).isPresent();
		}

		@Test
		void theSlotThatAnAnswerFreedIsTakenFirst() {
			listServers(4);
			IntStream.range(0, 4).forEach((index) -> acquire());
			for (int round = 0; round < 6; round++) {
				BackendSlot answered = acquire();
				BackendPoolTests.this.pool.release(answered, WHOLE);

				assertThat(acquire().address()).isEqualTo(answered.address());
				BackendPoolTests.this.time.advance(Duration.ofSeconds(1));
				IntStream.range(0, 3).forEach((index) -> acquire());
			}
		}

	}

	@Nested
	class AcrossFailureDomains {

		@Test
		void theOwnOneIsPreferredAndLoadSpillsBeforeItIsFull() {
			list(host(1, "1", "domain-b", HostState.LIVE), host(2), host(3, "3", "domain-b", HostState.LIVE), host(4));
			List<Integer> order = IntStream.range(0, 8)
				.mapToObj((index) -> acquire().address().host())
				.map((host) -> Integer.parseInt(host.substring("10.0.0.".length())) % 2)
				.toList();

			assertThat(order).containsExactly(0, 0, 1, 1, 0, 0, 1, 1);
		}

		@Test
		void theOthersAreUsedWhenTheOwnOneIsGone() {
			list(host(2, "2-start-1", "domain-b", HostState.LIVE));

			assertThat(acquire().address()).isEqualTo(address(2));
		}

	}

	@Nested
	class Ejection {

		@Test
		void leavesOutAServerWhoseAttemptsFail() {
			listServers(4);

			failOnly(2, 3, BROKEN);

			assertThat(count(acquireAll(), 2)).isZero();
		}

		@Test
		void leavesOutAServerThatAnswersNothingButServerErrors() {
			listServers(4);

			failOnly(2, 9, SERVER_ERROR);
			long before = count(acquireAll(), 2);
			listServers(0);
			listServers(4);
			failOnly(2, 10, SERVER_ERROR);

			assertThat(before).isPositive();
			assertThat(count(acquireAll(), 2)).isZero();
		}

		@Test
		void leavesHalfOfTheServersInWhenAllFail() {
			listServers(4);
			for (int attempt = 0; attempt < 40; attempt++) {
				BackendPoolTests.this.pool.release(acquire(), BROKEN);
			}

			List<BackendSlot> slots = acquireAll();

			assertThat(slots.stream().map(BackendSlot::address).distinct()).hasSize(2);
		}

		@Test
		void endsSlotBySlot() {
			listServers(4);
			failOnly(2, 3, BROKEN);

			BackendPoolTests.this.time.advance(EJECTION);
			long first = count(acquireAll(), 2);
			BackendPoolTests.this.time.advance(RETURN_STEP);
			long second = count(acquireAll(), 2);
			BackendPoolTests.this.time.advance(RETURN_STEP.multipliedBy(10));
			long rest = count(acquireAll(), 2);

			assertThat(List.of(first, second, rest)).containsExactly(1L, 1L, 6L);
		}

		@Test
		void startsAgainAndLastsLongerAfterTheFirstFailureOnReturn() {
			listServers(4);
			failOnly(2, 3, BROKEN);
			BackendPoolTests.this.time.advance(EJECTION);

			failOnly(2, 1, BROKEN);
			BackendPoolTests.this.time.advance(EJECTION);

			assertThat(count(acquireAll(), 2)).isZero();
		}

	}

	@Nested
	class AReplacedHost {

		@Test
		void startsCleanUnderTheSameAddress() {
			listServers(4);
			failOnly(2, 3, BROKEN);
			list(host(1), host(2, "2-start-2", "domain-a", HostState.LIVE), host(3), host(4));

			assertThat(count(acquireAll(), 2)).isEqualTo(8);
		}

		@Test
		void isNotMarkedByWhatItsPredecessorSaysLate() {
			list(host(1));
			BackendSlot old = acquire();
			list(host(1, "1-start-2", "domain-a", HostState.LIVE));

			BackendPoolTests.this.pool.release(old, LEAVING);

			assertThat(BackendPoolTests.this.pool.hasActiveServers()).isTrue();
			assertThat(acquireAll()).hasSize(8);
		}

		@Test
		void getsNoMoreThanItsSlotsWhenAHostReturnsToTheList() {
			list(host(1));
			BackendSlot old = acquire();
			BackendPoolTests.this.pool.update(List.of());
			list(host(1));

			BackendPoolTests.this.pool.release(old, WHOLE);

			assertThat(acquireAll()).hasSize(8);
		}

	}

	@Nested
	class ALeavingServer {

		@Test
		void getsNoWorkOnceTheHostListSaysSo() {
			list(host(1));
			list(host(1, "1-start-1", "domain-a", HostState.LEAVING));

			assertThat(BackendPoolTests.this.pool.acquire(Set.of())).isEmpty();
		}

		@Test
		void getsNoWorkOnceItSaysSoThoughTheHostListLags() {
			list(host(1));

			BackendPoolTests.this.pool.release(acquire(), LEAVING);
			list(host(1));

			assertThat(BackendPoolTests.this.pool.acquire(Set.of())).isEmpty();
			assertThat(BackendPoolTests.this.pool.leavingIncarnations()).containsExactly("1-start-1");
		}

		@Test
		void getsNoWorkOnceAPeerSaysSo() {
			list(host(1));

			BackendPoolTests.this.pool.markLeaving(Set.of("1-start-1"));

			assertThat(BackendPoolTests.this.pool.acquire(Set.of())).isEmpty();
		}

		@Test
		void isNotMixedUpWithItsSuccessor() {
			list(host(1, "1-start-2", "domain-a", HostState.LIVE));

			BackendPoolTests.this.pool.markLeaving(Set.of("1-start-1"));

			assertThat(BackendPoolTests.this.pool.acquire(Set.of())).isPresent();
		}

	}

}
