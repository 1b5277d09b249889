package org.monsoonrelay.adapters.http;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.ConnectionSpec;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.monsoonrelay.logic.platform.PlatformException;

/**
 * Asynchronous HTTP exchanges with JSON bodies over OkHttp. The library's own silent
 * repeats are off, because a repeated write could take effect twice. A connection on
 * which an exchange timed out is not used again. Thread-safe.
 */
public final class JsonHttpClient {

	private static final MediaType JSON = MediaType.get("application/json");

	private final OkHttpClient client;

	/**
	 * Create a client.
	 * @param connectTimeout the longest time to connect
	 * @param callTimeout the longest time for an exchange that names none
	 * @param maximumCalls most exchanges at once
	 */
	public JsonHttpClient(Duration connectTimeout, Duration callTimeout, int maximumCalls) {
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(maximumCalls);
		dispatcher.setMaxRequestsPerHost(maximumCalls);
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher)
			// Plain HTTP alone: setting up TLS takes 90 ms of a start of 480 ms (time of
			// the
			// class loads of one start).
			.connectionSpecs(List.of(ConnectionSpec.CLEARTEXT))
			.connectionPool(new ConnectionPool(maximumCalls, 1, TimeUnit.MINUTES))
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.connectTimeout(connectTimeout)
			.readTimeout(Duration.ZERO)
			.callTimeout(callTimeout)
			.eventListenerFactory((call) -> call.request().tag(SentMark.class))
			.build();
	}

	/**
	 * Read.
	 * @param url the URL
	 * @return the answer; fails with {@link PlatformException} if none came whole
	 */
	public CompletableFuture<Answer> get(String url) {
		return call(new Request.Builder().url(url).build(), Duration.ZERO);
	}

	/**
	 * Read.
	 * @param url the URL
	 * @param timeout the longest time for the exchange
	 * @return the answer; fails with {@link PlatformException} if none came whole
	 */
	public CompletableFuture<Answer> get(String url, Duration timeout) {
		return call(new Request.Builder().url(url).build(), timeout);
	}

	/**
	 * Put a body.
	 * @param url the URL
	 * @param body the body
	 * @return the answer; fails with {@link PlatformException} if none came whole
	 */
	public CompletableFuture<Answer> put(String url, String body) {
		return call(new Request.Builder().url(url).put(RequestBody.create(body, JSON)).build(), Duration.ZERO);
	}

	/**
	 * Post a body.
	 * @param url the URL
	 * @param body the body
	 * @param headers headers to add
	 * @param timeout the longest time for the exchange, zero for the client's
	 * @return the answer; fails with {@link PlatformException} if none came whole
	 */
	public CompletableFuture<Answer> post(String url, byte[] body, Map<String, String> headers, Duration timeout) {
		Request.Builder request = new Request.Builder().url(url).post(RequestBody.create(body, JSON));
		headers.forEach(request::header);
		return call(request.build(), timeout);
	}

	private CompletableFuture<Answer> call(Request request, Duration timeout) {
		CompletableFuture<Answer> answer = new CompletableFuture<>();
		SentMark sent = new SentMark();
		Call call = this.client.newCall(request.newBuilder().tag(SentMark.class, sent).build());
		if (!timeout.isZero()) {
			call.timeout().timeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
		}
		call.enqueue(new Callback() {
			@Override
			public void onFailure(Call failed, IOException ex) {
				// Whoever takes longer to connect than a call may is told apart from one
				// that takes the request and does not answer.
				answer.completeExceptionally(
						new PlatformException(request.url() + ": " + ex.getMessage(), sent.mayHaveSent(), ex));
			}

			@Override
			public void onResponse(Call answered, Response response) {
				complete(answer, request, response);
			}
		});
		return answer;
	}

	private static void complete(CompletableFuture<Answer> answer, Request request, Response response) {
		try (response) {
			answer.complete(new Answer(response.code(), response.body().string()));
		}
		catch (IOException ex) {
			answer.completeExceptionally(new PlatformException(request.url() + ": answer was cut", true, ex));
		}
	}

	/**
	 * An answer that arrived whole. Immutable.
	 *
	 * @param code the status
	 * @param body the body
	 */
	public record Answer(int code, String body) {

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
