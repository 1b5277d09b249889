package org.monsoonrelay.adapters.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.platform.RawServer;
import org.monsoonrelay.logic.platform.PlatformException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class JsonHttpClientTests {

	private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

	private static final Duration SHORT_TIMEOUT = Duration.ofMillis(50);

	private static final int CONCURRENT_EXCHANGES = 40;

	private final JsonHttpClient client = new JsonHttpClient(LONG_TIMEOUT, LONG_TIMEOUT, CONCURRENT_EXCHANGES);

	private static PlatformException failure(CompletableFuture<JsonHttpClient.Response> response) {
		try {
			throw new AssertionError("unexpected response: " + response.join());
		}
		catch (CompletionException ex) {
			return (PlatformException) ex.getCause();
		}
	}

	private CompletableFuture<JsonHttpClient.Response> post(RawServer server, String body, Duration timeout) {
		return this.client.post(server.address().url() + "/api/hold", body.getBytes(StandardCharsets.UTF_8),
				Map.of("X-Life", "i-1"), timeout);
	}

	private static void await(CountDownLatch latch) {
		try {
			assertThat(latch.await(LONG_TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Guards against a client that takes all connections that a server has for its
	 * clients.
	 */
	@Nested
	class ALimitPerRecipient {

		private static final int CONNECTIONS = 3;

		private final JsonHttpClient limited = JsonHttpClient.limitedPerRecipient(LONG_TIMEOUT, LONG_TIMEOUT,
				CONCURRENT_EXCHANGES, CONNECTIONS);

		private CompletableFuture<JsonHttpClient.Response> post(RawServer server, Duration timeout) {
			return this.limited.post(server.address().url() + "/api/start", new byte[0], Map.of(), timeout);
		}

		@Test
		void keepsExchangesWaitingUntilAConnectionIsFree() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				while (true) {
					connection.read();
					connection.write(RawServer.answer(""));
				}
			})) {
				List<CompletableFuture<JsonHttpClient.Response>> responses = new ArrayList<>();
				for (int i = 0; i < CONCURRENT_EXCHANGES; i++) {
					responses.add(post(server, LONG_TIMEOUT));
				}
				assertThat(responses).allSatisfy((response) -> assertThat(response.join().isSuccess()).isTrue());
				assertThat(server.connections()).isLessThanOrEqualTo(CONNECTIONS);
			}
		}

		// Guards against workers behind one address that have to share the connections of
		// one.
		@Test
		void letsExchangesWithOtherRecipientsAtTheSameAddressGoOn() throws IOException {
			CountDownLatch answered = new CountDownLatch(1);
			try (RawServer server = new RawServer((connection) -> {
				if (connection.read().contains("/silent")) {
					await(answered);
				}
				connection.write(RawServer.answer(""));
			})) {
				String url = server.address().url();
				for (int i = 0; i < 2 * CONNECTIONS; i++) {
					this.limited.post("first", url + "/silent", new byte[0], Map.of(), LONG_TIMEOUT);
				}
				assertThat(
						this.limited.post("second", url + "/", new byte[0], Map.of(), LONG_TIMEOUT).join().isSuccess())
					.isTrue();
				answered.countDown();
			}
		}

		@Test
		void letsExchangesWithOtherAddressesGoOn() throws IOException {
			CountDownLatch answered = new CountDownLatch(1);
			try (RawServer silent = new RawServer((connection) -> await(answered));
					RawServer other = new RawServer((connection) -> {
						connection.read();
						connection.write(RawServer.answer(""));
					})) {
				for (int i = 0; i < 2 * CONNECTIONS; i++) {
					post(silent, LONG_TIMEOUT);
				}
				assertThat(post(other, LONG_TIMEOUT).join().isSuccess()).isTrue();
				answered.countDown();
			}
		}

		@Test
		void failsAnExchangeWithoutEffectIfItWaitedTooLong() throws IOException {
			CountDownLatch end = new CountDownLatch(1);
			try (RawServer silent = new RawServer((connection) -> {
				connection.read();
				await(end);
			})) {
				for (int i = 0; i < CONNECTIONS; i++) {
					post(silent, LONG_TIMEOUT);
				}
				assertThat(failure(post(silent, SHORT_TIMEOUT)).mayHaveTakenEffect()).isFalse();
				end.countDown();
			}
		}

		@Test
		void isNotUsedUpByExchangesThatTimedOut() throws IOException {
			CountDownLatch end = new CountDownLatch(1);
			try (RawServer server = new RawServer((connection) -> {
				if (connection.read().contains("/silent")) {
					await(end);
				}
				connection.write(RawServer.answer(""));
			})) {
				String silent = server.address().url() + "/silent";
				for (int i = 0; i < CONNECTIONS; i++) {
					failure(this.limited.get(silent, SHORT_TIMEOUT));
				}
				assertThat(post(server, LONG_TIMEOUT).join().isSuccess()).isTrue();
				end.countDown();
			}
		}

	}

	@Nested
	class AnExchange {

		@Test
		void carriesMethodTargetHeadersAndBody() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				while (true) {
					connection.read();
					connection.write(RawServer.answer("{\"e\":1}"));
				}
			})) {
				JsonHttpClient.Response response = post(server, "{\"a\":1}", LONG_TIMEOUT).join();
				JsonHttpClientTests.this.client.put(server.address().url() + "/api/o?name=a%2Fb", "x").join();
				JsonHttpClientTests.this.client.get(server.address().url()).join();

				assertThat(response).isEqualTo(new JsonHttpClient.Response(200, "{\"e\":1}"));
				assertThat(server.requests().get(0)).startsWith("POST /api/hold HTTP/1.1\n")
					.contains("X-Life: i-1\n")
					.contains("Host: " + server.address() + "\n")
					.contains("Content-Type: application/json\n")
					.endsWith("{\"a\":1}");
				assertThat(server.requests().get(1)).startsWith("PUT /api/o?name=a%2Fb HTTP/1.1\n").endsWith("x");
				assertThat(server.requests().get(2)).startsWith("GET / HTTP/1.1\n");
			}
		}

		@Test
		void reusesTheConnectionOfThePreviousExchange() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				while (true) {
					connection.read();
					connection.write(RawServer.answer(""));
				}
			})) {
				for (int i = 0; i < 5; i++) {
					assertThat(post(server, "", LONG_TIMEOUT).join().isSuccess()).isTrue();
				}
				assertThat(server.connections()).isEqualTo(1);
			}
		}

		@Test
		void doesNotReuseAConnectionThatTheServerCloses() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.write("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
				connection.close();
			})) {
				assertThat(post(server, "", LONG_TIMEOUT).join().code()).isEqualTo(503);
				assertThat(post(server, "", LONG_TIMEOUT).join().code()).isEqualTo(503);
			}
		}

		@Test
		void waitsWhileTheMaximumNumberOfExchangesIsRunning() throws IOException {
			CountDownLatch releaseSlowServer = new CountDownLatch(1);
			try (RawServer server = new RawServer((connection) -> {
				while (true) {
					connection.read();
					connection.write(RawServer.answer(""));
				}
			}); RawServer slow = new RawServer((connection) -> {
				connection.read();
				await(releaseSlowServer);
				connection.write(RawServer.answer(""));
			})) {
				JsonHttpClient single = new JsonHttpClient(LONG_TIMEOUT, LONG_TIMEOUT, 1);
				CompletableFuture<JsonHttpClient.Response> first = single.get(slow.address().url());
				CompletableFuture<JsonHttpClient.Response> next = single.get(server.address().url());
				assertThat(next).isNotDone();
				assertThat(server.requests()).isEmpty();
				releaseSlowServer.countDown();
				assertThat(first.join().isSuccess()).isTrue();
				assertThat(next.join().isSuccess()).isTrue();
			}
		}

		@Test
		void thatIsCancelledWhileItWaitsLetsNoOtherOneRunInItsPlace() throws IOException {
			CountDownLatch release = new CountDownLatch(1);
			try (RawServer server = new RawServer((connection) -> {
				while (true) {
					connection.read();
					await(release);
					connection.write(RawServer.answer(""));
				}
			})) {
				JsonHttpClient single = new JsonHttpClient(LONG_TIMEOUT, LONG_TIMEOUT, 1);
				CompletableFuture<JsonHttpClient.Response> first = single.get(server.address().url());
				CompletableFuture<JsonHttpClient.Response> cancelled = single.get(server.address().url());
				CompletableFuture<JsonHttpClient.Response> last = single.get(server.address().url());
				cancelled.cancel(false);
				release.countDown();
				first.join();
				last.join();
				assertThat(server.connections()).isEqualTo(1);
				assertThat(server.requests()).hasSize(2);
			}
		}

		@Test
		void occupiesNoThreadWhileItIsPending() throws IOException {
			CountDownLatch allReceived = new CountDownLatch(CONCURRENT_EXCHANGES);
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				allReceived.countDown();
				await(allReceived);
				connection.write(RawServer.answer(""));
			})) {
				List<CompletableFuture<JsonHttpClient.Response>> pending = new ArrayList<>();
				for (int i = 0; i < CONCURRENT_EXCHANGES; i++) {
					pending.add(post(server, "", LONG_TIMEOUT));
				}
				pending.forEach((response) -> assertThat(response.join().isSuccess()).isTrue());
				assertThat(Thread.getAllStackTraces().keySet())
					.filteredOn((thread) -> thread.getName().startsWith("http-client"))
					.hasSizeLessThanOrEqualTo(2);
			}
		}

		@Test
		void keepsAtMostTwiceAsManyIdleConnectionsAsConcurrentExchanges() throws IOException {
			CountDownLatch closed = new CountDownLatch(1);
			RawServer.Script script = (connection) -> {
				try {
					connection.read();
					connection.write(RawServer.answer(""));
					connection.read();
				}
				catch (IOException ex) {
					closed.countDown();
				}
			};
			try (RawServer first = new RawServer(script);
					RawServer second = new RawServer(script);
					RawServer third = new RawServer(script)) {
				JsonHttpClient single = new JsonHttpClient(LONG_TIMEOUT, LONG_TIMEOUT, 1);
				single.get(first.address().url()).join();
				single.get(second.address().url()).join();
				assertThat(closed.getCount()).isEqualTo(1);
				single.get(third.address().url()).join();
				await(closed);
			}
		}

		@Test
		void rejectsUrlsOtherThanPlainHttp() {
			assertThatThrownBy(() -> JsonHttpClientTests.this.client.get("ftp://127.0.0.1:1/"))
				.isInstanceOf(IllegalArgumentException.class);
		}

	}

	@Nested
	class AHedgedExchange {

		private final String answer = RawServer.answer("hedge");

		private CompletableFuture<JsonHttpClient.Response> get(RawServer server, Duration timeout, Duration overdue) {
			String url = server.address().url() + "/";
			return JsonHttpClientTests.this.client.getHedged(url + "first", timeout, url + "second", Duration.ZERO,
					overdue);
		}

		@Test
		void usesANewConnectionThoughAnotherIsIdle() throws IOException {
			CountDownLatch firstReceived = new CountDownLatch(1);
			try (RawServer server = new RawServer((connection) -> {
				String request = connection.read();
				if (request.startsWith("GET /first")) {
					firstReceived.countDown();
					connection.read();
				}
				connection.write(this.answer);
				connection.read();
			})) {
				CompletableFuture<JsonHttpClient.Response> hedged = get(server, LONG_TIMEOUT, Duration.ofMillis(300));
				await(firstReceived);
				JsonHttpClientTests.this.client.get(server.address().url() + "/idle").join();
				assertThat(hedged.join().body()).isEqualTo("hedge");
				assertThat(server.requests()).hasSize(3);
				assertThat(server.connections()).isEqualTo(3);
			}
		}

		@Test
		void isHedgedAgainIfTheHedgeIsUnansweredAsWell() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				if (connection.number() > 2) {
					connection.write(this.answer);
				}
				connection.read();
			})) {
				assertThat(get(server, LONG_TIMEOUT, SHORT_TIMEOUT).join().body()).isEqualTo("hedge");
			}
		}

		@Test
		void isNotHedgedWhileTheMaximumNumberOfHedgesIsRunning() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.read();
			})) {
				JsonHttpClient single = new JsonHttpClient(LONG_TIMEOUT, LONG_TIMEOUT, CONCURRENT_EXCHANGES, 1);
				String url = server.address().url() + "/";
				List<CompletableFuture<JsonHttpClient.Response>> responses = IntStream.range(0, 5)
					.mapToObj((i) -> single.getHedged(url, Duration.ofSeconds(1), url, Duration.ZERO, SHORT_TIMEOUT))
					.toList();
				responses.forEach((response) -> failure(response));
				assertThat(server.requests()).hasSize(6);
			}
		}

		@Test
		void endsWithTheTimeoutOfTheFirstRequestIfNoneIsAnswered() throws IOException {
			try (RawServer server = new RawServer((connection) -> connection.read())) {
				CompletableFuture<JsonHttpClient.Response> response = get(server, Duration.ofMillis(100),
						Duration.ofMillis(30));
				assertThat(failure(response)).hasMessageContaining("/first");
			}
		}

		@Test
		void sendsNothingElseIfTheFirstRequestIsAnsweredInTime() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.write(this.answer);
				connection.read();
			})) {
				assertThat(get(server, LONG_TIMEOUT, LONG_TIMEOUT).join().isSuccess()).isTrue();
				assertThat(server.requests()).hasSize(1);
			}
		}

		@Test
		void returnsTheFirstResponseAlthoughTheHedgeFails() throws IOException {
			CountDownLatch hedgeReceived = new CountDownLatch(1);
			try (RawServer server = new RawServer((connection) -> {
				if (connection.read().startsWith("GET /second")) {
					connection.close();
					hedgeReceived.countDown();
					return;
				}
				await(hedgeReceived);
				connection.write(this.answer);
			})) {
				assertThat(get(server, LONG_TIMEOUT, SHORT_TIMEOUT).join().isSuccess()).isTrue();
			}
		}

		@Test
		void failsWithTheFailureOfTheFirstRequestIfBothFail() throws IOException {
			CountDownLatch hedgeReceived = new CountDownLatch(1);
			try (RawServer server = new RawServer((connection) -> {
				if (connection.read().startsWith("GET /second")) {
					hedgeReceived.countDown();
				}
				await(hedgeReceived);
				connection.close();
			})) {
				assertThat(failure(get(server, LONG_TIMEOUT, SHORT_TIMEOUT))).hasMessageContaining("/first");
			}
		}

	}

	@Nested
	class AFailure {

		@Test
		void hasNoEffectIfTheConnectionIsRefused() throws IOException {
			RawServer server = new RawServer((connection) -> connection.close());
			server.close();
			assertThat(failure(post(server, "", LONG_TIMEOUT)).mayHaveTakenEffect()).isFalse();
		}

		@Test
		void mayHaveTakenEffectIfTheResponseIsTruncated() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{");
				connection.close();
			})) {
				assertThat(failure(post(server, "", LONG_TIMEOUT)).mayHaveTakenEffect()).isTrue();
				assertThat(server.requests()).hasSize(1);
			}
		}

		@Test
		void mayHaveTakenEffectIfTheResponseIsNotHttp() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.write("what?\r\n\r\n");
			})) {
				assertThat(failure(post(server, "", LONG_TIMEOUT)).mayHaveTakenEffect()).isTrue();
			}
		}

		@Test
		void byTimeoutPreventsReuseOfTheConnection() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				if (connection.number() > 1) {
					connection.write(RawServer.answer("new"));
				}
				connection.read();
				connection.write(RawServer.answer("old"));
			})) {
				assertThat(failure(post(server, "", SHORT_TIMEOUT)).mayHaveTakenEffect()).isTrue();
				assertThat(post(server, "", LONG_TIMEOUT).join().body()).isEqualTo("new");
				assertThat(server.connections()).isEqualTo(2);
			}
		}

		// Connections may go silent for good without being closed, all at once.
		@Test
		void byTimeoutPreventsReuseOfConnectionsThatWereIdleSinceBeforeItsRequest() throws IOException {
			CountDownLatch bothReceived = new CountDownLatch(2);
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				if (connection.number() > 2) {
					connection.write(RawServer.answer("new"));
					return;
				}
				bothReceived.countDown();
				await(bothReceived);
				connection.write(RawServer.answer("old"));
				connection.read();
				connection.read();
			})) {
				List.of(post(server, "", LONG_TIMEOUT), post(server, "", LONG_TIMEOUT))
					.forEach(CompletableFuture::join);
				assertThat(failure(post(server, "", SHORT_TIMEOUT)).mayHaveTakenEffect()).isTrue();
				assertThat(post(server, "", LONG_TIMEOUT).join().body()).isEqualTo("new");
			}
		}

		@Test
		void isAvoidedByClosingAConnectionWithAnUnsolicitedResponse() throws IOException {
			CountDownLatch closedAfterUnsolicited = new CountDownLatch(1);
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.write(RawServer.answer("first"));
				if (connection.number() == 1) {
					connection.write(RawServer.answer("unasked"));
					try {
						connection.read();
					}
					catch (IOException ex) {
						closedAfterUnsolicited.countDown();
					}
				}
			})) {
				assertThat(post(server, "", LONG_TIMEOUT).join().body()).isEqualTo("first");
				await(closedAfterUnsolicited);
				assertThat(post(server, "", LONG_TIMEOUT).join().body()).isEqualTo("first");
				assertThat(server.connections()).isEqualTo(2);
			}
		}

	}

}
