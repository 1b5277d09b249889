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

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.platform.RawServer;
import org.monsoonrelay.logic.platform.PlatformException;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class JsonHttpClientTests {

	private static final Duration AMPLE = Duration.ofSeconds(30);

	private static final Duration SHORT = Duration.ofMillis(50);

	private static final int MANY = 40;

	private final JsonHttpClient client = new JsonHttpClient(AMPLE, AMPLE, MANY);

	private static PlatformException failure(CompletableFuture<JsonHttpClient.Response> answer) {
		try {
			throw new AssertionError("answered " + answer.join());
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
			assertThat(latch.await(AMPLE.toSeconds(), TimeUnit.SECONDS)).isTrue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
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
				JsonHttpClient.Response answer = post(server, "{\"a\":1}", AMPLE).join();
				JsonHttpClientTests.this.client.put(server.address().url() + "/api/o?name=a%2Fb", "x").join();
				JsonHttpClientTests.this.client.get(server.address().url()).join();

				assertThat(answer).isEqualTo(new JsonHttpClient.Response(200, "{\"e\":1}"));
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
		void usesTheConnectionOfTheOneBefore() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				while (true) {
					connection.read();
					connection.write(RawServer.answer(""));
				}
			})) {
				for (int i = 0; i < 5; i++) {
					assertThat(post(server, "", AMPLE).join().isSuccess()).isTrue();
				}
				assertThat(server.connections()).isEqualTo(1);
			}
		}

		@Test
		void usesNoConnectionThatTheServerIsAboutToClose() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.write("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
				connection.close();
			})) {
				assertThat(post(server, "", AMPLE).join().code()).isEqualTo(503);
				assertThat(post(server, "", AMPLE).join().code()).isEqualTo(503);
			}
		}

		@Test
		void waitsForItsTurnWhenTooManyAreOpen() throws IOException {
			CountDownLatch second = new CountDownLatch(1);
			try (RawServer server = new RawServer((connection) -> {
				while (true) {
					connection.read();
					connection.write(RawServer.answer(""));
				}
			}); RawServer slow = new RawServer((connection) -> {
				connection.read();
				await(second);
				connection.write(RawServer.answer(""));
			})) {
				JsonHttpClient single = new JsonHttpClient(AMPLE, AMPLE, 1);
				CompletableFuture<JsonHttpClient.Response> first = single.get(slow.address().url());
				CompletableFuture<JsonHttpClient.Response> next = single.get(server.address().url());
				assertThat(next).isNotDone();
				assertThat(server.requests()).isEmpty();
				second.countDown();
				assertThat(first.join().isSuccess()).isTrue();
				assertThat(next.join().isSuccess()).isTrue();
			}
		}

		@Test
		void holdsNoThreadWhileItWaits() throws IOException {
			CountDownLatch all = new CountDownLatch(MANY);
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				all.countDown();
				await(all);
				connection.write(RawServer.answer(""));
			})) {
				List<CompletableFuture<JsonHttpClient.Response>> held = new ArrayList<>();
				for (int i = 0; i < MANY; i++) {
					held.add(post(server, "", AMPLE));
				}
				held.forEach((answer) -> assertThat(answer.join().isSuccess()).isTrue());
				assertThat(Thread.getAllStackTraces().keySet())
					.filteredOn((thread) -> thread.getName().startsWith("http-client"))
					.hasSizeLessThanOrEqualTo(2);
			}
		}

		@Test
		void leavesNoMoreConnectionsIdleThanTwiceTheExchangesAtOnce() throws IOException {
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
				JsonHttpClient single = new JsonHttpClient(AMPLE, AMPLE, 1);
				single.get(first.address().url()).join();
				single.get(second.address().url()).join();
				assertThat(closed.getCount()).isEqualTo(1);
				single.get(third.address().url()).join();
				await(closed);
			}
		}

		@Test
		void isOfPlainHttpOnly() {
			assertThatThrownBy(() -> JsonHttpClientTests.this.client.get("ftp://127.0.0.1:1/"))
				.isInstanceOf(IllegalArgumentException.class);
		}

	}

	@Nested
	class AFailure {

		@Test
		void hasNoEffectIfNobodyListens() throws IOException {
			RawServer server = new RawServer((connection) -> connection.close());
			server.close();
			assertThat(failure(post(server, "", AMPLE)).mayHaveTakenEffect()).isFalse();
		}

		@Test
		void mayHaveTakenEffectIfTheAnswerIsCut() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{");
				connection.close();
			})) {
				assertThat(failure(post(server, "", AMPLE)).mayHaveTakenEffect()).isTrue();
				assertThat(server.requests()).hasSize(1);
			}
		}

		@Test
		void mayHaveTakenEffectIfTheAnswerIsNoHttp() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.write("what?\r\n\r\n");
			})) {
				assertThat(failure(post(server, "", AMPLE)).mayHaveTakenEffect()).isTrue();
			}
		}

		@Test
		void byTimeEndsTheUseOfTheConnection() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				if (connection.number() > 1) {
					connection.write(RawServer.answer("new"));
				}
				connection.read();
				connection.write(RawServer.answer("old"));
			})) {
				assertThat(failure(post(server, "", SHORT)).mayHaveTakenEffect()).isTrue();
				assertThat(post(server, "", AMPLE).join().body()).isEqualTo("new");
				assertThat(server.connections()).isEqualTo(2);
			}
		}

		@Test
		void isNotMadeGoodByAnAnswerThatNothingAskedFor() throws IOException {
			CountDownLatch unasked = new CountDownLatch(1);
			try (RawServer server = new RawServer((connection) -> {
				connection.read();
				connection.write(RawServer.answer("first"));
				if (connection.number() == 1) {
					connection.write(RawServer.answer("unasked"));
					try {
						connection.read();
					}
					catch (IOException ex) {
						unasked.countDown();
					}
				}
			})) {
				assertThat(post(server, "", AMPLE).join().body()).isEqualTo("first");
				await(unasked);
				assertThat(post(server, "", AMPLE).join().body()).isEqualTo("first");
				assertThat(server.connections()).isEqualTo(2);
			}
		}

	}

}
