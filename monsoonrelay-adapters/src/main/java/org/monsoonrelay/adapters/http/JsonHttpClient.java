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
import java.util.function.Supplier;

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

	private final Semaphore hedgePermits;

	private final Duration connectTimeout;

	private final Duration callTimeout;

	private final int maximumCalls;

	private final int maximumCallsPerRecipient;

	private int runningCount;

	/**
	 * Creates a client whose exchanges may all be hedged.
	 * @param connectTimeout the maximum time to establish a connection
	 * @param callTimeout the maximum time of an exchange without a timeout of its own
	 * @param maximumCalls the maximum number of concurrent exchanges; further ones wait
	 */
	public JsonHttpClient(Duration connectTimeout, Duration callTimeout, int maximumCalls) {
		this(connectTimeout, callTimeout, maximumCalls, maximumCalls);
	}

	/**
	 * Creates a client.
	 * @param connectTimeout the maximum time to establish a connection
	 * @param callTimeout the maximum time of an exchange without a timeout of its own
	 * @param maximumCalls the maximum number of concurrent exchanges; further ones wait
	 * @param maximumHedges the maximum number of concurrent hedges; no further ones are
	 * sent
	 */
	public JsonHttpClient(Duration connectTimeout, Duration callTimeout, int maximumCalls, int maximumHedges) {
		this(connectTimeout, callTimeout, maximumCalls, maximumHedges, maximumCalls);
	}

	private JsonHttpClient(Duration connectTimeout, Duration callTimeout, int maximumCalls, int maximumHedges,
			int maximumCallsPerRecipient) {
		this.maximumCallsPerRecipient = maximumCallsPerRecipient;
		this.connectTimeout = connectTimeout;
		this.callTimeout = callTimeout;
		this.maximumCalls = maximumCalls;
		this.idlePermits = new Semaphore(IDLE_FACTOR * maximumCalls);
		this.hedgePermits = new Semaphore(maximumHedges);
	}

	/**
	 * Creates a client that opens a limited number of connections for each recipient.
	 * @param connectTimeout the maximum time to establish a connection
	 * @param callTimeout the maximum time of an exchange without a timeout of its own
	 * @param maximumCalls the maximum number of concurrent exchanges; further ones wait
	 * @param perRecipient the maximum number of concurrent exchanges with one recipient;
	 * further ones wait until their timeout and have no effect if it passes
	 * @return the client
	 */
	public static JsonHttpClient limitedPerRecipient(Duration connectTimeout, Duration callTimeout, int maximumCalls,
			int perRecipient) {
		return new JsonHttpClient(connectTimeout, callTimeout, maximumCalls, maximumCalls, perRecipient);
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
		return submit(newGet(url, timeoutOrDefault(timeout)));
	}

	private static HttpCall newGet(String url, Duration timeout) {
		return new HttpCall(HttpMethod.GET, url, NO_BODY, Map.of(), timeout);
	}

	/**
	 * Sends a GET request, and others on new connections while nothing arrives: the
	 * connection of the first may have gone silent, and packets may be lost while another
	 * is opened. While bytes of a response arrive, no other request is sent: on a thin
	 * link it would only delay them. The first response counts.
	 * @param url the URL
	 * @param timeout the maximum time of all exchanges together, zero for the default
	 * timeout
	 * @param hedgeUrl the URL of the other requests
	 * @param wait how long the server may hold the response back
	 * @param overdue time after the wait, and after the last bytes that arrived, at which
	 * the first of the other requests is sent; each further one follows after twice the
	 * previous interval, and not before that time after the last bytes
	 * @return the response; fails with {@link PlatformException} if no complete response
	 * arrives
	 */
	public CompletableFuture<Response> getHedged(String url, Duration timeout, String hedgeUrl, Duration wait,
			Duration overdue) {
		long deadlineNanos = System.nanoTime() + timeoutOrDefault(timeout).toNanos();
		OverdueTime overdueTime = new OverdueTime(wait, overdue);
		HedgedExchange exchange = new HedgedExchange(
				submit(newGet(url, timeoutOrDefault(timeout)).onReceived(overdueTime::received)));
		scheduleHedge(exchange, overdueTime, hedgeUrl, wait.plus(overdue), overdue.multipliedBy(2), deadlineNanos);
		return exchange.result();
	}

	private void scheduleHedge(HedgedExchange exchange, OverdueTime overdueTime, String url, Duration delay,
			Duration interval, long deadlineNanos) {
		Future<?> timer = GROUP.next().schedule(() -> {
			Duration remaining = Duration.ofNanos(deadlineNanos - System.nanoTime());
			Duration putOff = Duration.ofNanos(overdueTime.remainingNanos());
			if (remaining.isNegative()) {
				return;
			}
			if (putOff.compareTo(Duration.ZERO) > 0) {
				scheduleHedge(exchange, overdueTime, url, putOff, interval, deadlineNanos);
				return;
			}
			hedge(exchange, () -> getOnNewConnection(url, remaining, overdueTime));
			scheduleHedge(exchange, overdueTime, url, interval, interval.multipliedBy(2), deadlineNanos);
		}, delay.toNanos(), TimeUnit.NANOSECONDS);
		exchange.result().whenComplete((response, failure) -> timer.cancel(false));
	}

	private void hedge(HedgedExchange exchange, Supplier<CompletableFuture<Response>> hedge) {
		if (this.hedgePermits.tryAcquire() && !exchange.hedge(hedge)) {
			this.hedgePermits.release();
		}
	}

	private CompletableFuture<Response> getOnNewConnection(String url, Duration timeout, OverdueTime overdueTime) {
		LOGGER.log(System.Logger.Level.WARNING, "no answer in time, using a new connection: {0}", url);
		CompletableFuture<Response> response = submit(
				newGet(url, timeout).onReceived(overdueTime::received).onNewConnection());
		response.whenComplete((result, failure) -> this.hedgePermits.release());
		return response;
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
	 * Sends a POST request to an address where one recipient listens.
	 * @param url the URL
	 * @param body the JSON body
	 * @param headers additional headers
	 * @param timeout the maximum time of the exchange, zero for the default timeout
	 * @return the response; fails with {@link PlatformException} if no complete response
	 * arrives
	 */
	public CompletableFuture<Response> post(String url, byte[] body, Map<String, String> headers, Duration timeout) {
		return post("", url, body, headers, timeout);
	}

	/**
	 * Sends a POST request.
	 * @param recipient for whom it is, of those who listen at the address
	 * @param url the URL
	 * @param body the JSON body
	 * @param headers additional headers
	 * @param timeout the maximum time of the exchange, zero for the default timeout
	 * @return the response; fails with {@link PlatformException} if no complete response
	 * arrives
	 */
	public CompletableFuture<Response> post(String recipient, String url, byte[] body, Map<String, String> headers,
			Duration timeout) {
		Map<String, String> allHeaders = new HashMap<>(headers);
		allHeaders.put(CONTENT_TYPE, JSON);
		return submit(new HttpCall(HttpMethod.POST, url, body, allHeaders, timeoutOrDefault(timeout)).to(recipient));
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
					(address) -> new HttpConnectionPool(address, GROUP.next(), this.connectTimeout, this.idlePermits,
							this.maximumCallsPerRecipient))
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
