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

	private static final AttemptResult ANSWERED = new AttemptResult.Answered(200, List.of(), new byte[0]);

	private static final AttemptResult SERVER_ERROR = new AttemptResult.Answered(500, List.of(), new byte[0]);

	private static final AttemptResult INCOMPLETE = new AttemptResult.Incomplete(true, "timeout");

	private static final AttemptResult FULL = new AttemptResult.Refused(false);

	private static final AttemptResult LEAVING = new AttemptResult.Refused(true);

	private static final Duration EJECTION_DURATION = Duration.ofSeconds(1);

	private static final Duration SLOT_RECOVERY_INTERVAL = Duration.ofMillis(500);

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

	private void updateHosts(Host... hosts) {
		this.pool.update(List.of(hosts));
	}

	private void updateServers(int count) {
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

	private long countSlots(List<BackendSlot> slots, int server) {
		return slots.stream().filter((slot) -> slot.address().equals(address(server))).count();
	}

	private void recordResults(int server, int times, AttemptResult result) {
		List<BackendSlot> others = new ArrayList<>();
		int recorded = 0;
		while (recorded < times) {
			BackendSlot slot = acquire();
			if (slot.address().equals(address(server))) {
				this.pool.release(slot, result);
				recorded++;
			}
			else {
				others.add(slot);
			}
		}
		others.forEach((slot) -> this.pool.release(slot, ANSWERED));
	}

	@Nested
	class AfterRefusals {

		@Test
		void aFullServerIsGivenNoAdditionalRequestsDuringTheBackoff() {
			updateHosts(host(1));
			BackendSlot accepted = acquire();
			BackendSlot refused = acquire();

			BackendPoolTests.this.pool.release(refused, FULL);
			Optional<BackendSlot> duringBackoff = BackendPoolTests.this.pool.acquire(Set.of());
			BackendPoolTests.this.pool.release(accepted, ANSWERED);
			Optional<BackendSlot> afterRelease = BackendPoolTests.this.pool.acquire(Set.of());
			BackendPoolTests.this.time.advance(Duration.ofMillis(2));

			assertThat(duringBackoff).isEmpty();
			assertThat(afterRelease).isPresent();
			assertThat(BackendPoolTests.this.pool.acquire(Set.of())).isPresent();
		}

		@Test
		void aSlotFreedByAnAnswerIsUsedFirst() {
			updateServers(4);
			IntStream.range(0, 4).forEach((index) -> acquire());
			for (int round = 0; round < 6; round++) {
				BackendSlot answered = acquire();
				BackendPoolTests.this.pool.release(answered, ANSWERED);

				assertThat(acquire().address()).isEqualTo(answered.address());
				BackendPoolTests.this.time.advance(Duration.ofSeconds(1));
				IntStream.range(0, 3).forEach((index) -> acquire());
			}
		}

	}

	@Nested
	class AcrossFailureDomains {

		@Test
		void theOwnDomainIsPreferredAndLoadSpillsOverBeforeItIsFull() {
			updateHosts(host(1, "1", "domain-b", HostState.LIVE), host(2), host(3, "3", "domain-b", HostState.LIVE),
					host(4));
			List<Integer> order = IntStream.range(0, 8)
				.mapToObj((index) -> acquire().address().host())
				.map((host) -> Integer.parseInt(host.substring("10.0.0.".length())) % 2)
				.toList();

			assertThat(order).containsExactly(0, 0, 1, 1, 0, 0, 1, 1);
		}

		@Test
		void otherDomainsAreUsedWhenTheOwnDomainHasNoServers() {
			updateHosts(host(2, "2-start-1", "domain-b", HostState.LIVE));

			assertThat(acquire().address()).isEqualTo(address(2));
		}

	}

	@Nested
	class Ejection {

		@Test
		void excludesAServerWhoseAttemptsFail() {
			updateServers(4);

			recordResults(2, 3, INCOMPLETE);

			assertThat(countSlots(acquireAll(), 2)).isZero();
		}

		@Test
		void excludesAServerThatReturnsOnlyServerErrors() {
			updateServers(4);

			recordResults(2, 9, SERVER_ERROR);
			long slotsBeforeThreshold = countSlots(acquireAll(), 2);
			updateServers(0);
			updateServers(4);
			recordResults(2, 10, SERVER_ERROR);

			assertThat(slotsBeforeThreshold).isPositive();
			assertThat(countSlots(acquireAll(), 2)).isZero();
		}

		@Test
		void retainsHalfOfTheServersWhenAllFail() {
			updateServers(4);
			for (int attempt = 0; attempt < 40; attempt++) {
				BackendPoolTests.this.pool.release(acquire(), INCOMPLETE);
			}

			List<BackendSlot> slots = acquireAll();

			assertThat(slots.stream().map(BackendSlot::address).distinct()).hasSize(2);
		}

		@Test
		void endsOneSlotAtATime() {
			updateServers(4);
			recordResults(2, 3, INCOMPLETE);

			BackendPoolTests.this.time.advance(EJECTION_DURATION);
			long first = countSlots(acquireAll(), 2);
			BackendPoolTests.this.time.advance(SLOT_RECOVERY_INTERVAL);
			long second = countSlots(acquireAll(), 2);
			BackendPoolTests.this.time.advance(SLOT_RECOVERY_INTERVAL.multipliedBy(10));
			long rest = countSlots(acquireAll(), 2);

			assertThat(List.of(first, second, rest)).containsExactly(1L, 1L, 6L);
		}

		@Test
		void isRepeatedForLongerAfterTheFirstSubsequentFailure() {
			updateServers(4);
			recordResults(2, 3, INCOMPLETE);
			BackendPoolTests.this.time.advance(EJECTION_DURATION);

			recordResults(2, 1, INCOMPLETE);
			BackendPoolTests.this.time.advance(EJECTION_DURATION);

			assertThat(countSlots(acquireAll(), 2)).isZero();
		}

	}

	@Nested
	class AReplacedHost {

		@Test
		void startsWithoutTheStateOfItsPredecessor() {
			updateServers(4);
			recordResults(2, 3, INCOMPLETE);
			updateHosts(host(1), host(2, "2-start-2", "domain-a", HostState.LIVE), host(3), host(4));

			assertThat(countSlots(acquireAll(), 2)).isEqualTo(8);
		}

		@Test
		void isNotAffectedByALateResponseOfItsPredecessor() {
			updateHosts(host(1));
			BackendSlot oldSlot = acquire();
			updateHosts(host(1, "1-start-2", "domain-a", HostState.LIVE));

			BackendPoolTests.this.pool.release(oldSlot, LEAVING);

			assertThat(BackendPoolTests.this.pool.hasActiveServers()).isTrue();
			assertThat(acquireAll()).hasSize(8);
		}

		@Test
		void isGivenNoMoreThanItsSlotsWhenItIsListedAgain() {
			updateHosts(host(1));
			BackendSlot oldSlot = acquire();
			BackendPoolTests.this.pool.update(List.of());
			updateHosts(host(1));

			BackendPoolTests.this.pool.release(oldSlot, ANSWERED);

			assertThat(acquireAll()).hasSize(8);
		}

	}

	@Nested
	class ALeavingServer {

		@Test
		void isGivenNoRequestsOnceTheHostListMarksItAsLeaving() {
			updateHosts(host(1));
			updateHosts(host(1, "1-start-1", "domain-a", HostState.LEAVING));

			assertThat(BackendPoolTests.this.pool.acquire(Set.of())).isEmpty();
		}

		@Test
		void isGivenNoRequestsOnceItRefusesOneAsLeavingBeforeTheHostListChanges() {
			updateHosts(host(1));

			BackendPoolTests.this.pool.release(acquire(), LEAVING);
			updateHosts(host(1));

			assertThat(BackendPoolTests.this.pool.acquire(Set.of())).isEmpty();
			assertThat(BackendPoolTests.this.pool.leavingIncarnations()).containsExactly("1-start-1");
		}

		@Test
		void isGivenNoRequestsOnceAPeerReportsItAsLeaving() {
			updateHosts(host(1));

			BackendPoolTests.this.pool.markLeaving(Set.of("1-start-1"));

			assertThat(BackendPoolTests.this.pool.acquire(Set.of())).isEmpty();
		}

		@Test
		void isNotConfusedWithItsSuccessor() {
			updateHosts(host(1, "1-start-2", "domain-a", HostState.LIVE));

			BackendPoolTests.this.pool.markLeaving(Set.of("1-start-1"));

			assertThat(BackendPoolTests.this.pool.acquire(Set.of())).isPresent();
		}

	}

}
