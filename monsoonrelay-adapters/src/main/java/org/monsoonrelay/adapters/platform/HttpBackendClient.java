package org.monsoonrelay.adapters.platform;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.Proxy;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Dispatcher;
import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.internal.http.HttpHeaders;
import okhttp3.internal.http.HttpMethod;
import org.monsoonrelay.adapters.http.RequestSendTracker;
import org.monsoonrelay.logic.routing.AttemptResult;
import org.monsoonrelay.logic.routing.BackendClient;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;

/**
 * The backend servers over HTTP. Each call sends its request at most once: OkHttp's own
 * repeats are off. "Not sent" is said only before the first byte of the request. A call
 * is answered whole only after its whole body has been read, and only if the answer says
 * where it ends. An answer that comes after its attempt was given up finds its connection
 * closed. Thread-safe.
 */
public final class HttpBackendClient implements BackendClient {

	/**
	 * Header by which a backend server says that it has not started a request; its value
	 * is {@code full} or {@code leaving}.
	 */
	public static final String NOT_STARTED = "Monsoonrelay-Not-Started";

	/**
	 * Header with the identity of the request. A backend server may echo it; an answer
	 * with another request's identity is never passed on.
	 */
	public static final String REQUEST_ID = "Monsoonrelay-Request-Id";

	/** The largest answer that is passed on. */
	public static final int MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024;

	private static final String LEAVING = "leaving";

	private static final String ACCEPT_ENCODING = "Accept-Encoding";

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	private static final Duration NO_TIMEOUT = Duration.ZERO;

	/**
	 * A connection that was idle longer is more of a risk than a new one costs: it may be
	 * closed by the server or have gone silent.
	 */
	private static final Duration KEEP_ALIVE = Duration.ofSeconds(1);

	private final OkHttpClient base;

	private final InstantSource clock;

	private final Duration keepAlive;

	private final AtomicLong suspicions = new AtomicLong();

	private final Map<HostAddress, ServerConnections> connections = new ConcurrentHashMap<>();

	public HttpBackendClient(InstantSource clock) {
		this(clock, KEEP_ALIVE);
	}

	/**
	 * Create a client.
	 * @param clock the time
	 * @param keepAlive how long an idle connection is kept
	 */
	HttpBackendClient(InstantSource clock, Duration keepAlive) {
		this.clock = clock;
		this.keepAlive = keepAlive;
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(Integer.MAX_VALUE);
		dispatcher.setMaxRequestsPerHost(Integer.MAX_VALUE);
		this.base = new OkHttpClient.Builder().dispatcher(dispatcher)
			.socketFactory(new CountingSocketFactory())
			.eventListenerFactory((call) -> call.request().tag(RequestSendTracker.class))
			.addNetworkInterceptor(new SingleExchange())
			.proxy(Proxy.NO_PROXY)
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.followSslRedirects(false)
			.connectTimeout(CONNECT_TIMEOUT)
			.readTimeout(NO_TIMEOUT)
			.writeTimeout(NO_TIMEOUT)
			.build();
	}

	@Override
	public CompletableFuture<AttemptResult> send(HostAddress server, ForwardedRequest request, Instant giveUpAt) {
		RequestSendTracker sent = new RequestSendTracker();
		Request toSend;
		try {
			toSend = toHttp(server, request, sent);
		}
		catch (IllegalArgumentException ex) {
			return CompletableFuture.completedFuture(new AttemptResult.NotSent(String.valueOf(ex.getMessage())));
		}
		Instant begun = this.clock.instant();
		ServerConnections pooled = this.connections.computeIfAbsent(server,
				(address) -> new ServerConnections(this.base, this.clock, this.keepAlive, this.suspicions.get()));
		ServerConnections.Generation generation = pooled.generation(this.suspicions.get());
		Call call = generation.client().newCall(toSend);
		call.timeout().timeout(Math.max(1, Duration.between(begun, giveUpAt).toMillis()), TimeUnit.MILLISECONDS);
		CompletableFuture<AttemptResult> result = new CompletableFuture<>();
		call.enqueue(new Callback() {
			@Override
			public void onFailure(Call failed, IOException ex) {
				end(failure(sent, ex));
			}

			@Override
			public void onResponse(Call answered, Response response) {
				end(read(request, response));
			}

			private void end(AttemptResult ended) {
				result.complete(judge(pooled, generation, begun, sent, ended));
			}
		});
		return result;
	}

	private AttemptResult judge(ServerConnections pooled, ServerConnections.Generation generation, Instant begun,
			RequestSendTracker sent, AttemptResult ended) {
		if (ended instanceof AttemptResult.Incomplete broken && broken.timedOut()) {
			boolean silent = sent.isOnReusedConnection() && pooled.areSilent(generation, begun);
			if (silent) {
				// Once for all connections that were open then.
				this.suspicions.compareAndSet(generation.suspicions(), generation.suspicions() + 1);
			}
			pooled.giveUp(generation, this.suspicions.get());
			return silent ? new AttemptResult.StaleConnection(broken.detail()) : broken;
		}
		if (ended instanceof AttemptResult.Answered || ended instanceof AttemptResult.Refused) {
			pooled.answered(generation);
		}
		else {
			pooled.failed(generation);
		}
		return ended;
	}

	/**
	 * Forget the connections to servers that are not in service any more.
	 * @param servers those that are
	 */
	public void retain(Set<HostAddress> servers) {
		this.connections.entrySet().removeIf((entry) -> {
			boolean gone = !servers.contains(entry.getKey());
			if (gone) {
				entry.getValue().close();
			}
			return gone;
		});
	}

	private static Request toHttp(HostAddress server, ForwardedRequest request, RequestSendTracker sent) {
		HttpUrl url = HttpUrl.get(server.url())
			.newBuilder()
			.addPathSegment(request.operation().name())
			.encodedQuery(request.query().isEmpty() ? null : request.query())
			.build();
		Headers.Builder headers = new Headers.Builder();
		request.headers().forEach((header) -> headers.addUnsafeNonAscii(header.name(), header.value()));
		headers.set(REQUEST_ID, request.id());
		if (headers.get(ACCEPT_ENCODING) == null) {
			headers.set(ACCEPT_ENCODING, "identity");
		}
		boolean hasBody = HttpMethod.permitsRequestBody(request.method())
				&& (request.body().length > 0 || HttpMethod.requiresRequestBody(request.method()));
		return new Request.Builder().url(url)
			.headers(headers.build())
			.method(request.method(), hasBody ? RequestBody.create(request.body()) : null)
			.tag(RequestSendTracker.class, sent)
			.build();
	}

	private static AttemptResult failure(RequestSendTracker sent, IOException ex) {
		return sent.mayHaveSent() ? broken(ex) : new AttemptResult.NotSent(String.valueOf(ex.getMessage()));
	}

	private static AttemptResult broken(IOException ex) {
		return new AttemptResult.Incomplete(ex instanceof InterruptedIOException, String.valueOf(ex.getMessage()));
	}

	private static AttemptResult read(ForwardedRequest request, Response response) {
		try (response) {
			String answeredId = response.header(REQUEST_ID);
			if (answeredId != null && !answeredId.equals(request.id())) {
				return new AttemptResult.Incomplete(false, "the answer belongs to another request");
			}
			String notStarted = response.header(NOT_STARTED);
			if (notStarted != null) {
				return new AttemptResult.Refused(LEAVING.equals(notStarted));
			}
			return whole(response);
		}
		catch (IOException ex) {
			return broken(ex);
		}
	}

	private static AttemptResult whole(Response response) throws IOException {
		boolean chunked = "chunked".equalsIgnoreCase(response.header("Transfer-Encoding"));
		if (response.body().contentLength() < 0 && !chunked && HttpHeaders.promisesBody(response)) {
			return new AttemptResult.Incomplete(false, "the answer does not say where it ends");
		}
		if (response.body().source().request(MAXIMUM_ANSWER_BYTES + 1L)) {
			return new AttemptResult.Incomplete(false, "the answer is larger than " + MAXIMUM_ANSWER_BYTES + " bytes");
		}
		byte[] body = response.body().bytes();
		List<HeaderLine> headers = new ArrayList<>();
		response.headers().forEach((pair) -> headers.add(returned(pair.getFirst(), pair.getSecond())));
		return new AttemptResult.Answered(response.code(), headers, body);
	}

	private static HeaderLine returned(String name, String value) {
		boolean hidden = name.equals(SingleExchange.HIDDEN_RETRY_AFTER);
		return new HeaderLine(hidden ? SingleExchange.RETRY_AFTER : name, value);
	}

}
