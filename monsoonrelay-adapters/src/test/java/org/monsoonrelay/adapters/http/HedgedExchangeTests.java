package org.monsoonrelay.adapters.http;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.platform.RawServer;

import static org.assertj.core.api.Assertions.assertThat;

class HedgedExchangeTests {

	private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);

	/** Far longer than the interval at which the servers write. */
	private static final Duration OVERDUE = Duration.ofMillis(800);

	private static final long WRITE_INTERVAL_MILLIS = 20;

	private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

	private static final String CHUNK = "1\r\nx\r\n";

	private static final String END = "0\r\n\r\n";

	private final JsonHttpClient client = new JsonHttpClient(LONG_TIMEOUT, LONG_TIMEOUT, 40);

	private CompletableFuture<JsonHttpClient.Response> get(RawServer server, Duration overdue) {
		String url = server.address().url() + "/";
		return this.client.getHedged(url + "first", LONG_TIMEOUT, url + "second", Duration.ZERO, overdue);
	}

	/**
	 * Writes a response without a pause for a time, or until another request comes.
	 * @param connection where to write
	 * @param time the time
	 * @param otherRequest counted down by another request
	 * @throws IOException if the client has gone
	 */
	private static void writeFor(RawServer.Connection connection, Duration time, CountDownLatch otherRequest)
			throws IOException {
		long startNanos = System.nanoTime();
		connection.write(HEAD);
		try {
			while (System.nanoTime() - startNanos < time.toNanos()
					&& !otherRequest.await(WRITE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
				connection.write(CHUNK);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		connection.write(END);
	}

	@Nested
	class AnExchange {

		@Test
		void isNotHedgedWhileItsResponseIsArriving() throws IOException {
			CountDownLatch otherRequest = new CountDownLatch(1);
			try (RawServer server = new RawServer((connection) -> {
				if (connection.read().startsWith("GET /second")) {
					otherRequest.countDown();
				}
				writeFor(connection, OVERDUE.multipliedBy(3).dividedBy(2), otherRequest);
				connection.read();
			})) {
				assertThat(get(server, OVERDUE).join().isSuccess()).isTrue();
				assertThat(server.requests()).singleElement().asString().startsWith("GET /first");
			}
		}

		@Test
		void isHedgedIfItGoesSilentInTheMiddleOfItsResponse() throws IOException {
			try (RawServer server = new RawServer((connection) -> {
				if (connection.read().startsWith("GET /first")) {
					connection.write(HEAD + CHUNK);
					connection.read();
				}
				connection.write(RawServer.answer("hedge"));
				connection.read();
			})) {
				assertThat(get(server, Duration.ofMillis(50)).join().body()).isEqualTo("hedge");
				assertThat(server.connections()).isEqualTo(2);
			}
		}

		@Test
		void isNotHedgedAgainWhileTheResponseOfItsHedgeIsArriving() throws IOException {
			CountDownLatch otherRequest = new CountDownLatch(1);
			try (RawServer server = new RawServer((connection) -> {
				if (connection.read().startsWith("GET /first")) {
					connection.read();
				}
				if (connection.number() > 2) {
					otherRequest.countDown();
				}
				writeFor(connection, OVERDUE.multipliedBy(5).dividedBy(2), otherRequest);
				connection.read();
			})) {
				assertThat(get(server, OVERDUE).join().isSuccess()).isTrue();
				assertThat(server.requests()).hasSize(2);
			}
		}

	}

}
