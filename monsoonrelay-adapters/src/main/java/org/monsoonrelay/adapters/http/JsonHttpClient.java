package org.monsoonrelay.adapters.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Asynchronous HTTP client for JSON bodies, based on Netty. Invariants: no request is
 * sent twice, because a repeated write could take effect twice, unless a read is hedged;
 * a connection on which an exchange timed out is not reused; a pending exchange occupies
 * no thread, because the owner of a pool always has one open exchange with each worker.
 * Responses are completed on the event loops of the connections, which must not be
 * blocked. Thread-safe.
 */
public final class JsonHttpClient {

	private static final System.Logger LOGGER = System.getLogger(JsonHttpClient.class.getName());

	private static final int NETWORK_THREADS = 2;

	private static final EventLoopGroup GROUP = new NioEventLoopGroup(NETWORK_THREADS,
			new DefaultThreadFactory("http-client", true));

	/**
	 * Maximum number of idle connections as a multiple of the concurrent exchanges. It
	 * limits the file descriptors of an owner, which starts several tasks at once on each
	 * of hundreds of workers.
	 */
	private static final int IDLE_FACTOR = 2;

	private static final byte[] NO_BODY = new byte[0];

	private static final String CONTENT_TYPE = "Content-Type";

	private static final String JSON = "application/json";

	private final Map<HostAddress, HttpConnectionPool> pools = new ConcurrentHashMap<>();

	private final Deque<HttpCall> waitingCalls = new ArrayDeque<>();

	private final Semaphore idlePermits;

	private final Duration connectTimeout;

	private final Duration callTimeout;

	private final int maximumCalls;

	private int runningCount;

	/**
	 * Creates a client.
	 * @param connectTimeout the maximum time to establish a connection
	 * @param callTimeout the maximum time of an exchange without a timeout of its own
	 * @param maximumCalls the maximum number of concurrent exchanges; further ones wait
	 */
	public JsonHttpClient(Duration connectTimeout, Duration callTimeout, int maximumCalls) {
		this.connectTimeout = connectTimeout;
		this.callTimeout = callTimeout;
		this.maximumCalls = maximumCalls;
		this.idlePermits = new Semaphore(IDLE_FACTOR * maximumCalls);
	}

	/**
	 * Sends a GET request with the default timeout.
	 * @param url the URL
	 * @return the response; fails with {@link PlatformException} if no complete response
	 * arrives
	 */
	public CompletableFuture<Response> get(String url) {
		return get(url, Duration.ZERO);
	}

	/**
	 * Sends a GET request.
	 * @param url the URL
	 * @param timeout the maximum time of the exchange, zero for the default timeout
	 * @return the response; fails with {@link PlatformException} if no complete response
	 * arrives
	 */
	public CompletableFuture<Response> get(String url, Duration timeout) {
		return submit(new HttpCall(HttpMethod.GET, url, NO_BODY, Map.of(), timeoutOrDefault(timeout)));
	}

	/**
	 * Sends a GET request, and another one on a new connection if no response arrives in
	 * time: the connection of the first may have gone silent. The first response counts.
	 * @param url the URL
	 * @param timeout the maximum time of the first exchange
	 * @param hedgeUrl the URL of the other request, which has the default timeout
	 * @param hedgeDelay time after which the other request is sent
	 * @return the response; fails with {@link PlatformException} if no complete response
	 * arrives
	 */
	public CompletableFuture<Response> getHedged(String url, Duration timeout, String hedgeUrl, Duration hedgeDelay) {
		HedgedExchange exchange = new HedgedExchange(get(url, timeout));
		Future<?> timer = GROUP.next().schedule(() -> exchange.hedge(() -> {
			LOGGER.log(System.Logger.Level.WARNING, "no answer in {0} ms, using a new connection: {1}",
					Long.toString(hedgeDelay.toMillis()), url);
			return submit(
					new HttpCall(HttpMethod.GET, hedgeUrl, NO_BODY, Map.of(), this.callTimeout).onNewConnection());
		}), hedgeDelay.toNanos(), TimeUnit.NANOSECONDS);
		exchange.result().whenComplete((response, failure) -> timer.cancel(false));
		return exchange.result();
	}

	/**
	 * Sends a PUT request with the default timeout.
	 * @param url the URL
	 * @param body the JSON body
	 * @return the response; fails with {@link PlatformException} if no complete response
	 * arrives
	 */
	public CompletableFuture<Response> put(String url, String body) {
		Map<String, String> headers = Map.of(CONTENT_TYPE, JSON);
		return submit(
				new HttpCall(HttpMethod.PUT, url, body.getBytes(StandardCharsets.UTF_8), headers, this.callTimeout));
	}

	/**
	 * Sends a POST request.
	 * @param url the URL
	 * @param body the JSON body
	 * @param headers additional headers
	 * @param timeout the maximum time of the exchange, zero for the default timeout
	 * @return the response; fails with {@link PlatformException} if no complete response
	 * arrives
	 */
	public CompletableFuture<Response> post(String url, byte[] body, Map<String, String> headers, Duration timeout) {
		Map<String, String> allHeaders = new HashMap<>(headers);
		allHeaders.put(CONTENT_TYPE, JSON);
		return submit(new HttpCall(HttpMethod.POST, url, body, allHeaders, timeoutOrDefault(timeout)));
	}

	private Duration timeoutOrDefault(Duration timeout) {
		return timeout.isZero() ? this.callTimeout : timeout;
	}

	private CompletableFuture<Response> submit(HttpCall call) {
		call.response().whenComplete((response, failure) -> onCompleted(call));
		if (tryAcquireOrEnqueue(call)) {
			start(call);
		}
		return call.response();
	}

	private synchronized boolean tryAcquireOrEnqueue(HttpCall call) {
		if (this.runningCount < this.maximumCalls) {
			this.runningCount++;
			call.setRunning();
			return true;
		}
		this.waitingCalls.add(call);
		return false;
	}

	private void onCompleted(HttpCall call) {
		HttpCall next = pollNextOrRelease(call);
		if (next != null) {
			start(next);
		}
	}

	private synchronized HttpCall pollNextOrRelease(HttpCall completed) {
		if (!completed.isRunning()) {
			// Cancelled while it waited.
			this.waitingCalls.remove(completed);
			return null;
		}
		HttpCall next = this.waitingCalls.poll();
		if (next == null) {
			this.runningCount--;
		}
		else {
			next.setRunning();
		}
		return next;
	}

	private void start(HttpCall call) {
		this.pools
			.computeIfAbsent(call.address(),
					(address) -> new HttpConnectionPool(address, GROUP.next(), this.connectTimeout, this.idlePermits))
			.send(call);
	}

	/**
	 * A complete response. Immutable.
	 *
	 * @param code the HTTP status code
	 * @param body the response body
	 */
	public record Response(int code, String body) {

		private static final int OK = 200;

		private static final int MULTIPLE_CHOICES = 300;

		/**
		 * Whether the status code denotes success.
		 * @return {@code true} for 200 to 299
		 */
		public boolean isSuccess() {
			return this.code >= OK && this.code < MULTIPLE_CHOICES;
		}

	}

}
