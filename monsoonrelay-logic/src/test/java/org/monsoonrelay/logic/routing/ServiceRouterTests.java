package org.monsoonrelay.logic.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.request.NotRunReason;
import org.monsoonrelay.model.request.RequestOutcome;
import org.monsoonrelay.model.request.TrafficClass;
import org.monsoonrelay.model.workload.Operation;

import static org.assertj.core.api.Assertions.assertThat;

class ServiceRouterTests {

	private static final AttemptResult WHOLE = new AttemptResult.Answered(200, List.of(), new byte[0]);

	private static final AttemptResult BROKEN = new AttemptResult.Incomplete(false, "reset");

	private static final AttemptResult NOT_SENT = new AttemptResult.NotSent("refused");

	private static final double SHARE = 0.1;

	private static final int RESERVE = 20;

	private Instant now = Instant.parse("2026-12-02T06:00:00Z");

	private final List<Attempt> attempts = new ArrayList<>();

	private ServiceRouter router = router(3, 1, 100);

	private ServiceRouter router(int servers, int slots, int maximumWaiting) {
		return router(servers, slots, maximumWaiting, (server) -> {
			Attempt attempt = new Attempt(server, new CompletableFuture<>());
			this.attempts.add(attempt);
			return attempt.result();
		});
	}

	private ServiceRouter router(int servers, int slots, int maximumWaiting,
			Function<HostAddress, CompletableFuture<AttemptResult>> client) {
		BackendPool pool = new BackendPool(slots, "a", () -> this.now, RandomSource.XO_RO_SHI_RO_128_PP.create(1L));
		pool.update(IntStream.rangeClosed(1, servers).mapToObj(ServiceRouterTests::host).toList());
		return new ServiceRouter(pool, (server, request, giveUpAt) -> client.apply(server),
				new RetryBudget(SHARE, RESERVE), () -> this.now, maximumWaiting, Duration.ofSeconds(1));
	}

	private static Host host(int number) {
		return new Host("server-" + number, new HostAddress("10.0.0." + number, 80), HostKind.BACKEND_SERVER, "1", "a",
				"rack", "desk", HostState.LIVE, new Resources(0, 0, 0));
	}

	private CompletableFuture<RequestOutcome> route(boolean repeatable, TrafficClass trafficClass, int seconds) {
		return this.router
			.route(new ForwardedRequest("id", "desk", new Operation("operation", trafficClass, repeatable, 1000),
					"POST", "", List.of(), new byte[0], this.now.plusSeconds(seconds)));
	}

	private CompletableFuture<RequestOutcome> lookup() {
		return route(true, TrafficClass.DESK, 10);
	}

	private CompletableFuture<RequestOutcome> confirmation() {
		return route(false, TrafficClass.DESK, 10);
	}

	private void end(int attempt, AttemptResult result) {
		this.attempts.get(attempt).result().complete(result);
	}

	private static void assertNotRun(CompletableFuture<RequestOutcome> outcome, NotRunReason reason) {
		assertThat(outcome).isCompletedWithValueMatching(
				(ended) -> ended instanceof RequestOutcome.NotRun notRun && notRun.reason() == reason);
	}

	private static void assertUnknown(CompletableFuture<RequestOutcome> outcome) {
		assertThat(outcome).isCompletedWithValueMatching(RequestOutcome.Unknown.class::isInstance);
	}

	private static void assertAnswered(CompletableFuture<RequestOutcome> outcome) {
		assertThat(outcome).isCompletedWithValueMatching(RequestOutcome.Answered.class::isInstance);
	}

	/**
	 * One attempt on the wire.
	 *
	 * @param server where it went
	 * @param result completed by the test
	 */
	private record Attempt(HostAddress server, CompletableFuture<AttemptResult> result) {

	}

	@Nested
	class RequestsThatMayNotBeRepeated {

		@Test
		void areUnknownAndNotSentAgainWhenTheirAttemptBreaks() {
			CompletableFuture<RequestOutcome> broken = confirmation();
			end(0, BROKEN);
			CompletableFuture<RequestOutcome> silent = confirmation();
			end(1, new AttemptResult.StaleConnection("timeout"));

			assertUnknown(broken);
			assertUnknown(silent);
			assertThat(ServiceRouterTests.this.attempts).hasSize(2);
		}

		@Test
		void goElsewhereWhenNothingWasSent() {
			CompletableFuture<RequestOutcome> outcome = confirmation();
			end(0, NOT_SENT);
			end(1, WHOLE);

			assertAnswered(outcome);
			assertThat(ServiceRouterTests.this.attempts).extracting(Attempt::server).doesNotHaveDuplicates();
		}

		@Test
		void goElsewhereWhenTheServerRefusedThem() {
			CompletableFuture<RequestOutcome> outcome = confirmation();
			end(0, new AttemptResult.Refused(true));
			end(1, WHOLE);

			assertAnswered(outcome);
		}

		@Test
		void areNotRunWhenNoServerCanBeReached() {
			CompletableFuture<RequestOutcome> outcome = confirmation();
			for (int attempt = 0; attempt < RESERVE + 1; attempt++) {
				end(attempt, NOT_SENT);
			}

			assertNotRun(outcome, NotRunReason.NO_BACKEND_SERVER);
		}

	}

	@Nested
	class RepeatableRequests {

		@Test
		void areAnsweredByAnotherServerWhenAnAttemptBreaks() {
			CompletableFuture<RequestOutcome> outcome = lookup();
			end(0, BROKEN);
			end(1, WHOLE);

			assertAnswered(outcome);
		}

		@Test
		void areUnknownWhenAnEarlierAttemptMayHaveRun() {
			CompletableFuture<RequestOutcome> outcome = lookup();
			end(0, BROKEN);
			ServiceRouterTests.this.now = ServiceRouterTests.this.now.plusSeconds(11);
			end(1, NOT_SENT);

			assertUnknown(outcome);
		}

		@Test
		void areSentAgainBeyondTheBudgetWhenTheirConnectionsHaveGoneSilent() {
			ServiceRouterTests.this.router = router(3, 2 * RESERVE, 100);
			List<CompletableFuture<RequestOutcome>> outcomes = new ArrayList<>();
			for (int request = 0; request < 2 * RESERVE; request++) {
				outcomes.add(lookup());
			}
			for (int attempt = 0; attempt < 2 * RESERVE; attempt++) {
				end(attempt, new AttemptResult.StaleConnection("timeout"));
				end(2 * RESERVE + attempt, WHOLE);
			}

			assertThat(outcomes).allSatisfy(ServiceRouterTests::assertAnswered);
		}

		@Test
		void goBackToTheOnlyServerInsteadOfWaitingForTheirDeadline() {
			ServiceRouterTests.this.router = router(1, 1, 100);
			CompletableFuture<RequestOutcome> outcome = lookup();
			end(0, BROKEN);
			end(1, WHOLE);

			assertAnswered(outcome);
		}

	}

	@Nested
	class Refusals {

		@Test
		void comeAtOnceWhenTheDeadlineHasPassed() {
			assertNotRun(route(true, TrafficClass.DESK, 0), NotRunReason.DEADLINE);
			assertThat(ServiceRouterTests.this.attempts).isEmpty();
		}

		@Test
		void comeAtOnceWhenTheQueueTakesLongerThanTheDeadline() {
			ServiceRouterTests.this.router = router(1, 1, 100);
			lookup();
			ServiceRouterTests.this.now = ServiceRouterTests.this.now.plusSeconds(2);
			end(0, WHOLE);
			IntStream.range(0, 4).forEach((index) -> route(true, TrafficClass.DESK, 60));

			assertThat(route(true, TrafficClass.APP, 5))
				.isCompletedWithValue(new RequestOutcome.NotRun(NotRunReason.OVERLOAD, Duration.ofSeconds(8)));
			assertThat(route(true, TrafficClass.APP, 9)).isNotDone();
		}

		@Test
		void comeAtTheDeadlineOfARequestThatWaits() {
			ServiceRouterTests.this.router = router(1, 1, 100);
			lookup();
			CompletableFuture<RequestOutcome> waiting = lookup();
			ServiceRouterTests.this.now = ServiceRouterTests.this.now.plusSeconds(10);
			ServiceRouterTests.this.router.refuseExpired();

			assertNotRun(waiting, NotRunReason.DEADLINE);
			assertThat(ServiceRouterTests.this.router.waitingCount()).isZero();
		}

		@Test
		void meetTheLastClassFirst() {
			ServiceRouterTests.this.router = router(1, 1, 1);
			lookup();
			CompletableFuture<RequestOutcome> batch = route(true, TrafficClass.BATCH, 10);
			CompletableFuture<RequestOutcome> desk = lookup();

			assertNotRun(batch, NotRunReason.OVERLOAD);
			assertThat(desk).isNotDone();
		}

		@Test
		void spareRequestsThatFindAFreeSlot() {
			ServiceRouterTests.this.router = router(1, 1, 0);

			assertThat(lookup()).isNotDone();
			assertThat(ServiceRouterTests.this.attempts).hasSize(1);
		}

	}

	@Nested
	class Slots {

		@Test
		void areGivenBackHoweverAnAttemptEnds() {
			for (AttemptResult result : List.of(WHOLE, BROKEN, NOT_SENT, new AttemptResult.Refused(false))) {
				confirmation();
				int last = ServiceRouterTests.this.attempts.size() - 1;
				end(last, result);
			}
			for (int attempt = 0; attempt < ServiceRouterTests.this.attempts.size(); attempt++) {
				end(attempt, BROKEN);
			}

			assertThat(ServiceRouterTests.this.router.inFlight()).isZero();
		}

		@Test
		void areGivenBackWhenTheClientThrows() {
			ServiceRouterTests.this.router = router(1, 1, 100, (server) -> {
				throw new IllegalStateException("cannot send");
			});

			assertUnknown(confirmation());
			assertThat(ServiceRouterTests.this.router.inFlight()).isZero();
		}

	}

	@Nested
	class Outages {

		private static final int REQUESTS = 5000;

		private static final int SERVERS = 30;

		private int sent;

		@Test
		void ofAThirdOfTheServersMultiplyLoadByNoMoreThanTheBudget() {
			ServiceRouterTests.this.router = router(SERVERS, 8, 100, (server) -> {
				this.sent++;
				boolean out = server.port() == 80 && Integer.parseInt(server.host().substring(7)) <= SERVERS / 3;
				boolean flaps = out && this.sent % 3 != 0;
				return CompletableFuture.completedFuture(flaps ? BROKEN : WHOLE);
			});

			for (int request = 0; request < REQUESTS; request++) {
				ServiceRouterTests.this.now = ServiceRouterTests.this.now.plusMillis(50);
				assertThat(lookup()).isDone();
			}

			assertThat(this.sent).isLessThanOrEqualTo((int) (REQUESTS * (1 + SHARE)) + RESERVE);
		}

	}

}
