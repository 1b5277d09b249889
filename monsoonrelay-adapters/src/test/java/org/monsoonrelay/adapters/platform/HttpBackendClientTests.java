package org.monsoonrelay.adapters.platform;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CyclicBarrier;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.routing.AttemptResult;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;
import org.monsoonrelay.model.request.TrafficClass;
import org.monsoonrelay.model.workload.Operation;

import static org.assertj.core.api.Assertions.assertThat;

class HttpBackendClientTests {

	private static final Duration LONG = Duration.ofSeconds(10);

	private static final Duration SHORT = Duration.ofMillis(150);

	/** Within this another exchange ends also on a busy machine. */
	private static final Duration SURE = Duration.ofSeconds(2);

	/** Connections stay open however long a busy machine holds a test up. */
	private static final Duration KEPT = Duration.ofMinutes(5);

	private final HttpBackendClient client = new HttpBackendClient(Clock.systemUTC(), KEPT);

	private static RawServer answering(String answer) {
		return new RawServer((connection) -> {
			boolean closes = !answer.contains("Content-Length") || answer.endsWith("half");
			do {
				connection.read();
				connection.write(answer);
			}
			while (!closes);
			connection.close();
		});
	}

	private AttemptResult send(RawServer server, String name) {
		return start(server, name).join();
	}

	private CompletableFuture<AttemptResult> start(RawServer server, String name) {
		return this.client.send(server.address(), request(name, List.of()), Clock.systemUTC().instant().plus(LONG));
	}

	private AttemptResult send(RawServer server, ForwardedRequest request, Duration limit) {
		HostAddress address = server.address();
		return this.client.send(address, request, Clock.systemUTC().instant().plus(limit)).join();
	}

	private static String text(AttemptResult result) {
		assertThat(result).isInstanceOf(AttemptResult.Answered.class);
		return new String(((AttemptResult.Answered) result).body(), StandardCharsets.UTF_8);
	}

	private static ForwardedRequest request(String name, List<HeaderLine> headers) {
		Operation operation = new Operation("confirm", TrafficClass.APP, false, 1000);
		return new ForwardedRequest(name, "desk", operation, "POST", "day=1", headers,
				("body of " + name).getBytes(StandardCharsets.UTF_8), Clock.systemUTC().instant().plus(LONG));
	}

	@Nested
	class Answers {

		@Test
		void areWholeWithStatusHeadersAndBody() throws IOException {
			try (RawServer server = answering("HTTP/1.1 409 Conflict\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
					+ "Content-Length: 4\r\n\r\nfull")) {
				AttemptResult.Answered whole = (AttemptResult.Answered) send(server, "one");

				assertThat(whole.status()).isEqualTo(409);
				assertThat(whole.headers()).contains(new HeaderLine("Set-Cookie", "a=1"),
						new HeaderLine("Set-Cookie", "b=2"));
				assertThat(whole.body()).asString().isEqualTo("full");
			}
		}

		@Test
		void areNotWholeWhenTheBodyIsCut() throws IOException {
			assertBroken("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
		}

		@Test
		void areNotWholeWhenTheLastChunkIsMissing() throws IOException {
			assertBroken("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
		}

		@Test
		void areNotWholeWhenTheyDoNotSayWhereTheyEnd() throws IOException {
			assertBroken("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf");
		}

		@Test
		void areNotPassedOnWhenTheyAreTooLarge() throws IOException {
			int size = HttpBackendClient.MAXIMUM_ANSWER_BYTES + 1;
			assertBroken("HTTP/1.1 200 OK\r\nContent-Length: " + size + "\r\n\r\n" + "x".repeat(size));
		}

		private void assertBroken(String answer) throws IOException {
			try (RawServer server = answering(answer)) {
				assertThat(send(server, "one")).isInstanceOf(AttemptResult.Incomplete.class);
			}
		}

	}

	@Nested
	class Requests {

		/**
		 * A request to a server that had just been closed was seen as sent and without an
		 * answer for 10 s, once, beside a load near 50. The server itself had taken the
		 * connection: a listener that is closed while a thread waits in accept goes on in
		 * the kernel until that thread has run again, and a connection made meanwhile was
		 * served by nobody. Shown by the count of connections that the closed server had
		 * accepted: 1 in each failed round, 0 in all others.
		 */
		@Test
		void areNotSentWhenTheConnectionIsRefused() throws IOException {
			RawServer closed = new RawServer(RawServer.Connection::read);
			closed.close();

			assertThat(send(closed, "one")).isInstanceOf(AttemptResult.NotSent.class);
		}

		@Test
		void areBrokenWhenTheConnectionDiesAfterTheyWereWritten() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.close();
			})) {
				assertThat(send(server, "one")).isInstanceOf(AttemptResult.Incomplete.class);
				assertThat(server.requests()).hasSize(1);
			}
		}

		@Test
		void areOnTheWireOnceWhenAPooledConnectionDiesAfterTheyWereWritten() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.write(RawServer.answer("first"));
				connection.read();
				connection.close();
			})) {
				assertThat(text(send(server, "one"))).isEqualTo("first");
				assertThat(send(server, "two")).isInstanceOf(AttemptResult.Incomplete.class);
				assertThat(server.requests()).hasSize(2);
			}
		}

		@Test
		void areOnTheWireOnceWhenTheServerAsksToComeBackAtOnce() throws IOException {
			try (RawServer server = answering(
					"HTTP/1.1 503 Unavailable\r\nRetry-After: 0\r\nContent-Length: 4\r\n\r\nbusy")) {
				AttemptResult.Answered whole = (AttemptResult.Answered) send(server, "one");

				assertThat(whole.headers()).contains(new HeaderLine("Retry-After", "0"));
				assertThat(server.requests()).hasSize(1);
			}
		}

		@Test
		void keepTheirBytes() throws IOException {
			try (RawServer server = answering(RawServer.answer("ok"))) {
				ForwardedRequest request = request("one",
						List.of(new HeaderLine("Guest", "João"), new HeaderLine("Content-Type", "not a type"),
								new HeaderLine("Via", "a"), new HeaderLine("Via", "b")));

				assertThat(send(server, request, LONG)).isInstanceOf(AttemptResult.Answered.class);
				assertThat(server.requests().get(0)).startsWith("POST /confirm?day=1 HTTP/1.1")
					.contains("Guest: João\n", "Content-Type: not a type\n", "Via: a\nVia: b\n")
					.endsWith("body of one");
			}
		}

	}

	@Nested
	class LateAndCrossedAnswers {

		@Test
		void areNotGivenToTheNextRequestWhenTheirAttemptWasGivenUp() throws IOException {
			CompletableFuture<Void> givenUp = new CompletableFuture<>();
			try (RawServer server = new RawServer((connection) -> {
				String request = connection.read();
				if (connection.number() == 1) {
					givenUp.join();
				}
				connection.write(RawServer.answer(request.substring(request.indexOf("body of"))));
			})) {
				AttemptResult first = send(server, request("one", List.of()), SHORT);
				givenUp.complete(null);

				assertThat(first).isEqualTo(new AttemptResult.Incomplete(true, "timeout"));
				assertThat(text(send(server, "two"))).isEqualTo("body of two");
			}
		}

		@Test
		void areNotTakenFromWhatWasReadWithAnEarlierAnswer() throws IOException {
			try (RawServer server = answering(RawServer.answer("first") + RawServer.answer("stray"))) {
				assertThat(text(send(server, "one"))).isEqualTo("first");
				assertThat(send(server, "two")).isInstanceOf(AttemptResult.Incomplete.class);
				assertThat(text(send(server, "three"))).isEqualTo("first");
			}
		}

		@Test
		void areNotTakenFromAnIdleConnection() throws IOException {
			CompletableFuture<Void> idle = new CompletableFuture<>();
			CompletableFuture<Void> strayed = new CompletableFuture<>();
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.write(RawServer.answer("first"));
				idle.join();
				connection.write(RawServer.answer("stray"));
				strayed.complete(null);
				connection.read();
			})) {
				assertThat(text(send(server, "one"))).isEqualTo("first");
				idle.complete(null);
				strayed.join();

				assertThat(send(server, "two")).isInstanceOf(AttemptResult.NotSent.class);
				assertThat(server.requests()).hasSize(1);
			}
		}

		@Test
		void areKnownByTheIdentityThatTheServerEchoes() throws IOException {
			try (RawServer server = answering(
					"HTTP/1.1 200 OK\r\nMonsoonrelay-Request-Id: other\r\nContent-Length: 2\r\n\r\nok")) {
				assertThat(send(server, "one")).isInstanceOf(AttemptResult.Incomplete.class);
			}
		}

	}

	@Nested
	class Connections {

		@Test
		void areAllGivenUpWhenOneHasGoneSilent() throws IOException {
			try (RawServer server = silentAfterTwoAnswers()) {
				openTwo(server);

				assertThat(send(server, request("three", List.of()), SHORT))
					.isEqualTo(new AttemptResult.StaleConnection("timeout"));
				assertThat(text(send(server, request("four", List.of()), LONG))).isEqualTo("ok");
				assertThat(server.connections()).isEqualTo(3);
			}
		}

		@Test
		void areGivenUpAtEveryServerWhenOneHasGoneSilent() throws IOException {
			try (RawServer server = silentAfterTwoAnswers(); RawServer other = silentAfterTwoAnswers()) {
				openTwo(server);
				openTwo(other);

				assertThat(send(server, request("three", List.of()), SHORT))
					.isInstanceOf(AttemptResult.StaleConnection.class);
				assertThat(text(send(other, request("four", List.of()), LONG))).isEqualTo("ok");
			}
		}

		@Test
		void areNotCalledSilentWhileOneOfThemAnswers() throws IOException {
			CompletableFuture<Void> closed = new CompletableFuture<>();
			try (RawServer server = new RawServer((connection) -> {
				while (true) {
					boolean stalls = connection.read().endsWith("three");
					if (stalls) {
						closed.join();
					}
					connection.write(RawServer.answer("ok"));
				}
			})) {
				openTwo(server);
				CompletableFuture<AttemptResult> stalled = start(server, "three", SURE);
				while (!stalled.isDone()) {
					assertThat(text(send(server, "four"))).isEqualTo("ok");
				}

				assertThat(stalled.join()).isEqualTo(new AttemptResult.Incomplete(true, "timeout"));
				closed.complete(null);
			}
		}

		private CompletableFuture<AttemptResult> start(RawServer server, String name, Duration limit) {
			return HttpBackendClientTests.this.client.send(server.address(), request(name, List.of()),
					Clock.systemUTC().instant().plus(limit));
		}

		private void openTwo(RawServer server) {
			List<CompletableFuture<AttemptResult>> opened = List.of(start(server, "one", LONG),
					start(server, "two", LONG));
			opened.forEach((result) -> assertThat(text(result.join())).isEqualTo("ok"));
		}

		private static RawServer silentAfterTwoAnswers() {
			CyclicBarrier both = new CyclicBarrier(2);
			return new RawServer((connection) -> {
				connection.read();
				if (connection.number() <= 2) {
					await(both);
				}
				connection.write(RawServer.answer("ok"));
				connection.read();
			});
		}

		@Test
		void areAsManyAsRequestsAtATime() throws IOException {
			try (RawServer server = answering(RawServer.answer("ok"))) {
				for (int round = 0; round < 5; round++) {
					List<CompletableFuture<AttemptResult>> results = new ArrayList<>();
					for (int index = 0; index < 8; index++) {
						results.add(start(server, "request", LONG));
					}
					results.forEach((result) -> assertThat(text(result.join())).isEqualTo("ok"));
				}

				assertThat(server.connections()).isLessThanOrEqualTo(8);
			}
		}

		private static void await(CyclicBarrier barrier) {
			try {
				barrier.await();
			}
			catch (Exception ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

}
