package org.monsoonrelay.logic.idempotency;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.idempotency.FakeTable.Fault;
import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.model.request.NotRunReason;
import org.monsoonrelay.model.request.RequestOutcome;
import org.monsoonrelay.model.request.TrafficClass;
import org.monsoonrelay.model.workload.Operation;

import static org.assertj.core.api.Assertions.assertThat;

class IdempotentRequestRouterTests {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final RequestOutcome NOT_RUN = new RequestOutcome.NotRun(NotRunReason.OVERLOAD, RETRY_AFTER);

	private static final RequestOutcome UNKNOWN = new RequestOutcome.Unknown("broken");

	private Instant now = Instant.parse("2026-12-02T06:00:00Z");

	private final FakeTable table = new FakeTable(Runnable::run);

	private final List<String> routedIds = new ArrayList<>();

	private RequestOutcome nextOutcome = answered("done");

	private final IdempotentRequestRouter gateway = createGateway();

	private final IdempotentRequestRouter otherGateway = createGateway();

	private IdempotentRequestRouter createGateway() {
		return new IdempotentRequestRouter(this.table, (request) -> {
			this.routedIds.add(request.id());
			return CompletableFuture.completedFuture(this.nextOutcome);
		}, () -> this.now, RETRY_AFTER);
	}

	private RequestOutcome route(IdempotentRequestRouter router, String id, String key, String body) {
		return router.route(key, request(id, body)).join();
	}

	private ForwardedRequest request(String id, String body) {
		return new ForwardedRequest(id, "desk", new Operation("confirm", TrafficClass.APP, false, 1000), "POST", "",
				List.of(), body.getBytes(StandardCharsets.UTF_8), this.now.plusSeconds(60));
	}

	private void setFaults(Fault... faults) {
		Iterator<Fault> remaining = Arrays.asList(faults).iterator();
		this.table.setFaults(() -> remaining.hasNext() ? remaining.next() : Fault.NONE);
	}

	private static RequestOutcome answered(String body) {
		return new RequestOutcome.Answered(200, List.of(), body.getBytes(StandardCharsets.UTF_8));
	}

	private static void assertAnswered(RequestOutcome outcome, String body) {
		assertThat(outcome).isInstanceOf(RequestOutcome.Answered.class);
		assertThat(((RequestOutcome.Answered) outcome).body()).asString().isEqualTo(body);
	}

	private static void assertNotRun(RequestOutcome outcome, NotRunReason reason) {
		assertThat(outcome).isInstanceOf(RequestOutcome.NotRun.class);
		assertThat(((RequestOutcome.NotRun) outcome).reason()).isEqualTo(reason);
	}

	@Nested
	class Repeats {

		@Test
		void receiveTheStoredAnswerThroughAnotherGateway() {
			assertAnswered(route(IdempotentRequestRouterTests.this.gateway, "one", "key", "a"), "done");
			assertAnswered(route(IdempotentRequestRouterTests.this.otherGateway, "two", "key", "a"), "done");

			assertThat(IdempotentRequestRouterTests.this.routedIds).containsExactly("one");
		}

		@Test
		void haveAnUnknownOutcomeWhileTheFirstRequestIsOpen() {
			IdempotentRequestRouterTests.this.nextOutcome = UNKNOWN;
			route(IdempotentRequestRouterTests.this.gateway, "one", "key", "a");

			assertThat(route(IdempotentRequestRouterTests.this.otherGateway, "two", "key", "a"))
				.isInstanceOf(RequestOutcome.Unknown.class);
			assertThat(IdempotentRequestRouterTests.this.routedIds).containsExactly("one");
		}

		@Test
		void runWhenTheFirstWasNotRun() {
			IdempotentRequestRouterTests.this.nextOutcome = NOT_RUN;
			route(IdempotentRequestRouterTests.this.gateway, "one", "key", "a");
			IdempotentRequestRouterTests.this.nextOutcome = answered("later");

			assertAnswered(route(IdempotentRequestRouterTests.this.otherGateway, "two", "key", "a"), "later");
		}

		@Test
		void areRefusedWhenTheirContentDiffers() {
			route(IdempotentRequestRouterTests.this.gateway, "one", "key", "a");

			assertNotRun(route(IdempotentRequestRouterTests.this.otherGateway, "two", "key", "b"),
					NotRunReason.KEY_REUSED);
			assertThat(IdempotentRequestRouterTests.this.routedIds).containsExactly("one");
		}

		@Test
		void haveAnUnknownOutcomeWhenTheAnswerWasTooLargeToStore() {
			IdempotentRequestRouterTests.this.nextOutcome = answered(
					"x".repeat(IdempotentRequestRouter.MAXIMUM_ANSWER_BYTES + 1));
			route(IdempotentRequestRouterTests.this.gateway, "one", "key", "a");

			assertThat(route(IdempotentRequestRouterTests.this.otherGateway, "two", "key", "a"))
				.isInstanceOf(RequestOutcome.Unknown.class);
			assertThat(IdempotentRequestRouterTests.this.routedIds).containsExactly("one");
		}

	}

	@Nested
	class TableFailures {

		@Test
		void preventTheRequestFromRunningWhenTheTableIsDown() {
			setFaults(Fault.DOWN);

			RequestOutcome outcome = route(IdempotentRequestRouterTests.this.gateway, "one", "key", "a");

			assertThat(outcome).isEqualTo(new RequestOutcome.NotRun(NotRunReason.PLATFORM_UNAVAILABLE, RETRY_AFTER));
			assertThat(IdempotentRequestRouterTests.this.routedIds).isEmpty();
		}

		@Test
		void areResolvedByReadingTheRowWhenTheResponseToAReservationIsLost() {
			setFaults(Fault.NONE, Fault.ANSWER_LOST);

			assertAnswered(route(IdempotentRequestRouterTests.this.gateway, "one", "key", "a"), "done");
			assertThat(IdempotentRequestRouterTests.this.routedIds).containsExactly("one");
		}

		@Test
		void releaseTheKeyLaterWhenTheReservationCannotBeReadBack() {
			setFaults(Fault.NONE, Fault.ANSWER_LOST, Fault.DOWN, Fault.DOWN);
			assertNotRun(route(IdempotentRequestRouterTests.this.gateway, "one", "key", "a"),
					NotRunReason.PLATFORM_UNAVAILABLE);
			assertThat(IdempotentRequestRouterTests.this.gateway.pendingWrites()).isOne();

			IdempotentRequestRouterTests.this.gateway.retryDelayedWrites();

			assertAnswered(route(IdempotentRequestRouterTests.this.otherGateway, "two", "key", "a"), "done");
			assertThat(IdempotentRequestRouterTests.this.routedIds).containsExactly("two");
			assertThat(IdempotentRequestRouterTests.this.gateway.pendingWrites()).isZero();
		}

		@Test
		void rejectADelayedReservationThatWasAbandoned() {
			setFaults(Fault.NONE, Fault.HELD, Fault.DOWN);
			assertNotRun(route(IdempotentRequestRouterTests.this.gateway, "one", "key", "a"),
					NotRunReason.PLATFORM_UNAVAILABLE);

			assertThat(IdempotentRequestRouterTests.this.table.applyHeldWrites())
				.isInstanceOf(CommitResult.Conflict.class);
			assertAnswered(route(IdempotentRequestRouterTests.this.otherGateway, "two", "key", "a"), "done");
		}

		@Test
		void doNotWithholdTheAnswerFromTheCaller() {
			setFaults(Fault.NONE, Fault.NONE, Fault.DOWN);
			assertAnswered(route(IdempotentRequestRouterTests.this.gateway, "one", "key", "a"), "done");
			IdempotentRequestRouterTests.this.gateway.retryDelayedWrites();

			assertAnswered(route(IdempotentRequestRouterTests.this.otherGateway, "two", "key", "a"), "done");
			assertThat(IdempotentRequestRouterTests.this.routedIds).containsExactly("one");
		}

	}

	@Nested
	class Races {

		private static final int SEEDS = 500;

		private static final int REQUESTS = 6;

		@Test
		void neverRunARequestTwice() {
			for (int seed = 0; seed < SEEDS; seed++) {
				Race race = new Race(new SplittableRandom(seed));

				race.run(REQUESTS);

				assertThat(race.mayHaveRun).as("seed %d", seed).hasSizeLessThanOrEqualTo(1);
				assertThat(race.mayHaveRun).as("seed %d", seed).allMatch((id) -> !race.reportedNotRun.contains(id));
			}
		}

	}

	/**
	 * Sends requests with the same key through different gateways. The random generator
	 * determines the order of the steps and the faults of the table.
	 */
	private final class Race {

		private final SplittableRandom random;

		private final List<Runnable> pending = new ArrayList<>();

		private final List<String> mayHaveRun = new ArrayList<>();

		private final List<String> reportedNotRun = new ArrayList<>();

		private final List<IdempotentRequestRouter> gateways = new ArrayList<>();

		private Race(SplittableRandom random) {
			this.random = random;
		}

		private void run(int requests) {
			Executor anyOrder = this.pending::add;
			FakeTable shared = new FakeTable(anyOrder);
			shared.setFaults(() -> Fault.values()[Math.max(0, this.random.nextInt(10) - 6)]);
			for (int index = 0; index < requests; index++) {
				IdempotentRequestRouter router = new IdempotentRequestRouter(shared, this::send,
						() -> IdempotentRequestRouterTests.this.now, RETRY_AFTER);
				this.gateways.add(router);
				String id = "request-" + index;
				this.pending.add(() -> router.route("key", request(id, "a")).thenAccept((outcome) -> {
					if (outcome instanceof RequestOutcome.NotRun) {
						this.reportedNotRun.add(id);
					}
				}));
			}
			for (int step = 0; step < 200 && !this.pending.isEmpty(); step++) {
				this.pending.remove(this.random.nextInt(this.pending.size())).run();
				this.gateways.get(this.random.nextInt(requests)).retryDelayedWrites();
			}
		}

		private CompletableFuture<RequestOutcome> send(ForwardedRequest request) {
			RequestOutcome outcome = List.of(NOT_RUN, UNKNOWN, answered("done")).get(this.random.nextInt(3));
			if (outcome != NOT_RUN) {
				this.mayHaveRun.add(request.id());
			}
			return CompletableFuture.completedFuture(outcome);
		}

	}

}
