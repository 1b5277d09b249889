package org.monsoonrelay.adapters.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Asynchronous HTTP exchanges with JSON bodies over Netty. Invariants: nothing is sent
 * twice, because a repeated write could take effect twice; a connection on which an
 * exchange timed out is not used again; an exchange that waits holds no thread, since the
 * owner of a pool has one open with each worker all the while. Answers are given on the
 * threads of the connections, which must not be blocked. Thread-safe.
 */
public final class JsonHttpClient {

	private static final int NETWORK_THREADS = 2;

	private static final EventLoopGroup GROUP = new NioEventLoopGroup(NETWORK_THREADS,
			new DefaultThreadFactory("http-client", true));

	/**
	 * Connections that may be idle, as a multiple of the exchanges at once. Bounds the
	 * descriptors of an owner, which starts several tasks at once on each of hundreds of
	 * workers.
	 */
	private static final int IDLE_FACTOR = 2;

	private static final byte[] NO_BODY = new byte[0];

	private static final String CONTENT_TYPE = "Content-Type";

	private static final String JSON = "application/json";

	private final Map<HostAddress, HttpConnectionPool> pools = new ConcurrentHashMap<>();

	private final Deque<HttpCall> waiting = new ArrayDeque<>();

	private final Semaphore idlePermits;

	private final Duration connectTimeout;

	private final Duration callTimeout;

	private final int maximumCalls;

	private int running;

	/**
	 * Create a client.
	 * @param connectTimeout the longest time to connect
	 * @param callTimeout the longest time for an exchange that names none
	 * @param maximumCalls most exchanges at once
	 */
	public JsonHttpClient(Duration connectTimeout, Duration callTimeout, int maximumCalls) {
		this.connectTimeout = connectTimeout;
		this.callTimeout = callTimeout;
		this.maximumCalls = maximumCalls;
		this.idlePermits = new Semaphore(IDLE_FACTOR * maximumCalls);
	}

	/**
	 * Read.
	 * @param url the URL
	 * @return the answer; fails with {@link PlatformException} if none came whole
	 */
	public CompletableFuture<Response> get(String url) {
		return get(url, Duration.ZERO);
	}

	/**
	 * Read.
	 * @param url the URL
	 * @param timeout the longest time for the exchange
	 * @return the answer; fails with {@link PlatformException} if none came whole
	 */
	public CompletableFuture<Response> get(String url, Duration timeout) {
		return call(new HttpCall(HttpMethod.GET, url, NO_BODY, Map.of(), longest(timeout)));
	}

	/**
	 * Put a body.
	 * @param url the URL
	 * @param body the body
	 * @return the answer; fails with {@link PlatformException} if none came whole
	 */
	public CompletableFuture<Response> put(String url, String body) {
		Map<String, String> headers = Map.of(CONTENT_TYPE, JSON);
		return call(
				new HttpCall(HttpMethod.PUT, url, body.getBytes(StandardCharsets.UTF_8), headers, this.callTimeout));
	}

	/**
	 * Post a body.
	 * @param url the URL
	 * @param body the body
	 * @param headers headers to add
	 * @param timeout the longest time for the exchange, zero for the client's
	 * @return the answer; fails with {@link PlatformException} if none came whole
	 */
	public CompletableFuture<Response> post(String url, byte[] body, Map<String, String> headers, Duration timeout) {
		Map<String, String> all = new HashMap<>(headers);
		all.put(CONTENT_TYPE, JSON);
		return call(new HttpCall(HttpMethod.POST, url, body, all, longest(timeout)));
	}

	private Duration longest(Duration timeout) {
		return timeout.isZero() ? this.callTimeout : timeout;
	}

	private CompletableFuture<Response> call(HttpCall call) {
		call.answer().whenComplete((answer, failure) -> ended());
		if (mayBegin(call)) {
			begin(call);
		}
		return call.answer();
	}

	private synchronized boolean mayBegin(HttpCall call) {
		if (this.running < this.maximumCalls) {
			this.running++;
			return true;
		}
		this.waiting.add(call);
		return false;
	}

	private void ended() {
		HttpCall next = next();
		if (next != null) {
			begin(next);
		}
	}

	private synchronized HttpCall next() {
		HttpCall next = this.waiting.poll();
		if (next == null) {
			this.running--;
		}
		return next;
	}

	private void begin(HttpCall call) {
		this.pools
			.computeIfAbsent(call.address(),
					(address) -> new HttpConnectionPool(address, GROUP.next(), this.connectTimeout, this.idlePermits))
			.send(call);
	}

	/**
	 * An answer that arrived whole. Immutable.
	 *
	 * @param code the status
	 * @param body the body
	 */
	public record Response(int code, String body) {

		private static final int OK = 200;

		private static final int FIRST_REDIRECT = 300;

		/**
		 * Whether the status tells success.
		 * @return {@code true} for 200 to 299
		 */
		public boolean isSuccess() {
			return this.code >= OK && this.code < FIRST_REDIRECT;
		}

	}

}
