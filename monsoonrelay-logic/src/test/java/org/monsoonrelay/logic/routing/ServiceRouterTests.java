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

	private static final AttemptResult ANSWERED = new AttemptResult.Answered(200, List.of(), new byte[0]);

	private static final AttemptResult INCOMPLETE = new AttemptResult.Incomplete(false, "reset");

	private static final AttemptResult NOT_SENT = new AttemptResult.NotSent("refused");

	private static final double RETRIES_PER_REQUEST = 0.1;

	private static final int RETRY_CAPACITY = 20;

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
		return new ServiceRouter(pool, (server, request, attemptDeadline) -> client.apply(server),
				new RetryBudget(RETRIES_PER_REQUEST, RETRY_CAPACITY), () -> this.now, maximumWaiting,
				Duration.ofSeconds(1));
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

	private CompletableFuture<RequestOutcome> routeRepeatable() {
		return route(true, TrafficClass.DESK, 10);
	}

	private CompletableFuture<RequestOutcome> routeNonRepeatable() {
		return route(false, TrafficClass.DESK, 10);
	}

	private void completeAttempt(int attempt, AttemptResult result) {
		this.attempts.get(attempt).result().complete(result);
	}

	private static void assertNotRun(CompletableFuture<RequestOutcome> outcome, NotRunReason reason) {
		assertThat(outcome).isCompletedWithValueMatching(
				(value) -> value instanceof RequestOutcome.NotRun notRun && notRun.reason() == reason);
	}

	private static void assertUnknown(CompletableFuture<RequestOutcome> outcome) {
		assertThat(outcome).isCompletedWithValueMatching(RequestOutcome.Unknown.class::isInstance);
	}

	private static void assertAnswered(CompletableFuture<RequestOutcome> outcome) {
		assertThat(outcome).isCompletedWithValueMatching(RequestOutcome.Answered.class::isInstance);
	}

	/**
	 * Attempt that has been sent to a server.
	 *
	 * @param server the server that it was sent to
	 * @param result the result, completed by the test
	 */
	private record Attempt(HostAddress server, CompletableFuture<AttemptResult> result) {

	}

	@Nested
	class NonRepeatableRequests {

		@Test
		void haveAnUnknownOutcomeAndAreNotRetriedWithoutACompleteResponse() {
			CompletableFuture<RequestOutcome> incomplete = routeNonRepeatable();
			completeAttempt(0, INCOMPLETE);
			CompletableFuture<RequestOutcome> stale = routeNonRepeatable();
			completeAttempt(1, new AttemptResult.StaleConnection("timeout"));

			assertUnknown(incomplete);
			assertUnknown(stale);
			assertThat(ServiceRouterTests.this.attempts).hasSize(2);
		}

		@Test
		void areSentToAnotherServerWhenNothingWasSent() {
			CompletableFuture<RequestOutcome> outcome = routeNonRepeatable();
			completeAttempt(0, NOT_SENT);
			completeAttempt(1, ANSWERED);

			assertAnswered(outcome);
			assertThat(ServiceRouterTests.this.attempts).extracting(Attempt::server).doesNotHaveDuplicates();
		}

		@Test
		void areSentToAnotherServerWhenTheFirstRefusesThem() {
			CompletableFuture<RequestOutcome> outcome = routeNonRepeatable();
			completeAttempt(0, new AttemptResult.Refused(true));
			completeAttempt(1, ANSWERED);

			assertAnswered(outcome);
		}

		@Test
		void areNotRunWhenNoServerCanBeReached() {
			CompletableFuture<RequestOutcome> outcome = routeNonRepeatable();
			for (int attempt = 0; attempt < RETRY_CAPACITY + 1; attempt++) {
				completeAttempt(attempt, NOT_SENT);
			}

			assertNotRun(outcome, NotRunReason.NO_BACKEND_SERVER);
		}

	}

	@Nested
	class RepeatableRequests {

		@Test
		void areAnsweredByAnotherServerWhenAnAttemptIsIncomplete() {
			CompletableFuture<RequestOutcome> outcome = routeRepeatable();
			completeAttempt(0, INCOMPLETE);
			completeAttempt(1, ANSWERED);

			assertAnswered(outcome);
		}

		@Test
		void haveAnUnknownOutcomeWhenAnEarlierAttemptMayHaveRun() {
			CompletableFuture<RequestOutcome> outcome = routeRepeatable();
			completeAttempt(0, INCOMPLETE);
			ServiceRouterTests.this.now = ServiceRouterTests.this.now.plusSeconds(11);
			completeAttempt(1, NOT_SENT);

			assertUnknown(outcome);
		}

		@Test
		void areNotSentToEveryServerWhenEachOfThemBreaksOff() {
			ServiceRouterTests.this.router = router(12, 1, 100);
			CompletableFuture<RequestOutcome> outcome = routeRepeatable();
			for (int i = 0; i < ServiceRouterTests.this.attempts.size(); i++) {
				completeAttempt(i, INCOMPLETE);
			}

			assertUnknown(outcome);
			assertThat(ServiceRouterTests.this.attempts).hasSize(3);
		}

		@Test
		void areRetriedOutsideTheBudgetWhenTheirConnectionsAreStale() {
			ServiceRouterTests.this.router = router(3, 2 * RETRY_CAPACITY, 100);
			List<CompletableFuture<RequestOutcome>> outcomes = new ArrayList<>();
			for (int request = 0; request < 2 * RETRY_CAPACITY; request++) {
				outcomes.add(routeRepeatable());
			}
			for (int attempt = 0; attempt < 2 * RETRY_CAPACITY; attempt++) {
				completeAttempt(attempt, new AttemptResult.StaleConnection("timeout"));
				completeAttempt(2 * RETRY_CAPACITY + attempt, ANSWERED);
			}

			assertThat(outcomes).allSatisfy(ServiceRouterTests::assertAnswered);
		}

		@Test
		void areRetriedAtTheOnlyServerInsteadOfWaitingForTheirDeadline() {
			ServiceRouterTests.this.router = router(1, 1, 100);
			CompletableFuture<RequestOutcome> outcome = routeRepeatable();
			completeAttempt(0, INCOMPLETE);
			completeAttempt(1, ANSWERED);

			assertAnswered(outcome);
		}

	}

	@Nested
	class Refusals {

		@Test
		void areImmediateWhenTheDeadlineHasPassed() {
			assertNotRun(route(true, TrafficClass.DESK, 0), NotRunReason.DEADLINE);
			assertThat(ServiceRouterTests.this.attempts).isEmpty();
		}

		@Test
		void areImmediateWhenTheExpectedWaitExceedsTheDeadline() {
			ServiceRouterTests.this.router = router(1, 1, 100);
			routeRepeatable();
			ServiceRouterTests.this.now = ServiceRouterTests.this.now.plusSeconds(2);
			completeAttempt(0, ANSWERED);
			IntStream.range(0, 4).forEach((index) -> route(true, TrafficClass.DESK, 60));

			assertThat(route(true, TrafficClass.APP, 5))
				.isCompletedWithValue(new RequestOutcome.NotRun(NotRunReason.OVERLOAD, Duration.ofSeconds(8)));
			assertThat(route(true, TrafficClass.APP, 9)).isNotDone();
		}

		@Test
		void occurAtTheDeadlineOfAWaitingRequest() {
			ServiceRouterTests.this.router = router(1, 1, 100);
			routeRepeatable();
			CompletableFuture<RequestOutcome> waiting = routeRepeatable();
			ServiceRouterTests.this.now = ServiceRouterTests.this.now.plusSeconds(10);
			ServiceRouterTests.this.router.refuseExpired();

			assertNotRun(waiting, NotRunReason.DEADLINE);
			assertThat(ServiceRouterTests.this.router.waitingCount()).isZero();
		}

		@Test
		void affectTheLowestTrafficClassFirst() {
			ServiceRouterTests.this.router = router(1, 1, 1);
			routeRepeatable();
			CompletableFuture<RequestOutcome> batch = route(true, TrafficClass.BATCH, 10);
			CompletableFuture<RequestOutcome> desk = routeRepeatable();

			assertNotRun(batch, NotRunReason.OVERLOAD);
			assertThat(desk).isNotDone();
		}

		@Test
		void doNotAffectRequestsThatFindAFreeSlot() {
			ServiceRouterTests.this.router = router(1, 1, 0);

			assertThat(routeRepeatable()).isNotDone();
			assertThat(ServiceRouterTests.this.attempts).hasSize(1);
		}

	}

	@Nested
	class Slots {

		@Test
		void areReleasedAfterEveryKindOfResult() {
			for (AttemptResult result : List.of(ANSWERED, INCOMPLETE, NOT_SENT, new AttemptResult.Refused(false))) {
				routeNonRepeatable();
				int last = ServiceRouterTests.this.attempts.size() - 1;
				completeAttempt(last, result);
			}
			for (int attempt = 0; attempt < ServiceRouterTests.this.attempts.size(); attempt++) {
				completeAttempt(attempt, INCOMPLETE);
			}

			assertThat(ServiceRouterTests.this.router.inFlight()).isZero();
		}

		@Test
		void areReleasedWhenTheClientThrows() {
			ServiceRouterTests.this.router = router(1, 1, 100, (server) -> {
				throw new IllegalStateException("cannot send");
			});

			assertUnknown(routeNonRepeatable());
			assertThat(ServiceRouterTests.this.router.inFlight()).isZero();
		}

	}

	@Nested
	class Outages {

		private static final int REQUESTS = 5000;

		private static final int SERVERS = 30;

		private int sent;

		@Test
		void ofAThirdOfTheServersIncreaseTheLoadByNoMoreThanTheBudget() {
			ServiceRouterTests.this.router = router(SERVERS, 8, 100, (server) -> {
				this.sent++;
				boolean affected = server.port() == 80 && Integer.parseInt(server.host().substring(7)) <= SERVERS / 3;
				boolean fails = affected && this.sent % 3 != 0;
				return CompletableFuture.completedFuture(fails ? INCOMPLETE : ANSWERED);
			});

			for (int request = 0; request < REQUESTS; request++) {
				ServiceRouterTests.this.now = ServiceRouterTests.this.now.plusMillis(50);
				assertThat(routeRepeatable()).isDone();
			}

			assertThat(this.sent).isLessThanOrEqualTo((int) (REQUESTS * (1 + RETRIES_PER_REQUEST)) + RETRY_CAPACITY);
		}

	}

}
