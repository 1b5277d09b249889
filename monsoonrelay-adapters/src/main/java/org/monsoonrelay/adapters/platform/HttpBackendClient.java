package org.monsoonrelay.adapters.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.internal.http.HttpMethod;
import org.monsoonrelay.logic.routing.AttemptResult;
import org.monsoonrelay.logic.routing.BackendClient;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;

/**
 * The backend servers over HTTP. Each call sends its request at most once: OkHttp's own
 * repeats are off. A call is answered whole only after its whole body has been read.
 * Thread-safe.
 */
public final class HttpBackendClient implements BackendClient {

	/**
	 * Header by which a backend server says that it has not started a request; its value
	 * is {@code full} or {@code leaving}.
	 */
	public static final String NOT_STARTED = "Monsoonrelay-Not-Started";

	private static final String LEAVING = "leaving";

	private static final int MAXIMUM_CALLS = 512;

	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	private final OkHttpClient client;

	private final InstantSource clock;

	public HttpBackendClient(InstantSource clock) {
		this.clock = clock;
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(MAXIMUM_CALLS);
		dispatcher.setMaxRequestsPerHost(MAXIMUM_CALLS);
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher)
			.connectionPool(new ConnectionPool(MAXIMUM_CALLS, 1, TimeUnit.MINUTES))
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.followSslRedirects(false)
			.connectTimeout(CONNECT_TIMEOUT)
			.build();
	}

	@Override
	public CompletableFuture<AttemptResult> send(HostAddress server, ForwardedRequest request, Instant giveUpAt) {
		CompletableFuture<AttemptResult> result = new CompletableFuture<>();
		long millis = Math.max(1, Duration.between(this.clock.instant(), giveUpAt).toMillis());
		SentMark sent = new SentMark();
		Call call = this.client.newBuilder()
			.eventListener(sent)
			.readTimeout(millis, TimeUnit.MILLISECONDS)
			.callTimeout(millis, TimeUnit.MILLISECONDS)
			.build()
			.newCall(toHttp(server, request));
		call.enqueue(new Callback() {
			@Override
			public void onFailure(Call failed, IOException ex) {
				result.complete(failure(sent, ex));
			}

			@Override
			public void onResponse(Call answered, Response response) {
				result.complete(read(response));
			}
		});
		return result;
	}

	private static Request toHttp(HostAddress server, ForwardedRequest request) {
		HttpUrl url = HttpUrl.get(server.url())
			.newBuilder()
			.addPathSegment(request.operation().name())
			.encodedQuery(request.query().isEmpty() ? null : request.query())
			.build();
		Request.Builder builder = new Request.Builder().url(url);
		MediaType type = null;
		for (HeaderLine header : request.headers()) {
			if (header.name().equalsIgnoreCase("Content-Type")) {
				type = MediaType.parse(header.value());
			}
			else {
				builder.addHeader(header.name(), header.value());
			}
		}
		boolean hasBody = HttpMethod.permitsRequestBody(request.method())
				&& (request.body().length > 0 || HttpMethod.requiresRequestBody(request.method()));
		return builder.method(request.method(), hasBody ? RequestBody.create(request.body(), type) : null).build();
	}

	private static AttemptResult failure(SentMark sent, IOException ex) {
		boolean connecting = ex instanceof ConnectException || ex instanceof NoRouteToHostException;
		if (connecting || !sent.mayHaveSent()) {
			return new AttemptResult.NotSent(String.valueOf(ex.getMessage()));
		}
		boolean timedOut = ex instanceof SocketTimeoutException || "timeout".equals(ex.getMessage());
		return new AttemptResult.Broken(timedOut, String.valueOf(ex.getMessage()));
	}

	private static AttemptResult read(Response response) {
		try (response) {
			String notStarted = response.header(NOT_STARTED);
			if (notStarted != null) {
				return new AttemptResult.Refused(LEAVING.equals(notStarted));
			}
			byte[] body = response.body().bytes();
			List<HeaderLine> headers = new ArrayList<>();
			response.headers().forEach((pair) -> headers.add(new HeaderLine(pair.getFirst(), pair.getSecond())));
			return new AttemptResult.Whole(response.code(), headers, body);
		}
		catch (IOException ex) {
			return new AttemptResult.Broken(ex instanceof SocketTimeoutException, String.valueOf(ex.getMessage()));
		}
	}

}
