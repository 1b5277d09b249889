package org.monsoonrelay.adapters.platform;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PlatformException;

/**
 * Asynchronous JSON calls over OkHttp. The client's own silent repeats are off, because a
 * repeated write could take effect twice. Thread-safe.
 */
final class HttpCalls {

	static final MediaType JSON = MediaType.get("application/json");

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private final OkHttpClient client;

	HttpCalls(Duration timeout, int maximumCalls) {
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(maximumCalls);
		dispatcher.setMaxRequestsPerHost(maximumCalls);
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher)
			.connectionPool(new ConnectionPool(maximumCalls, 1, TimeUnit.MINUTES))
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.connectTimeout(timeout)
			.callTimeout(timeout)
			.build();
	}

	CompletableFuture<Answer> get(String url) {
		return call(new Request.Builder().url(url).build());
	}

	CompletableFuture<Answer> post(String url, Object body) {
		return call(new Request.Builder().url(url).post(RequestBody.create(Json.write(body), JSON)).build());
	}

	CompletableFuture<Answer> put(String url, String body) {
		return call(new Request.Builder().url(url).put(RequestBody.create(body, JSON)).build());
	}

	private CompletableFuture<Answer> call(Request request) {
		CompletableFuture<Answer> answer = new CompletableFuture<>();
		this.client.newCall(request).enqueue(new Callback() {
			@Override
			public void onFailure(Call call, IOException ex) {
				boolean unsent = ex instanceof ConnectException || ex instanceof NoRouteToHostException;
				answer
					.completeExceptionally(new PlatformException(request.url() + ": " + ex.getMessage(), !unsent, ex));
			}

			@Override
			public void onResponse(Call call, Response response) {
				complete(answer, request, response);
			}
		});
		return answer;
	}

	private static void complete(CompletableFuture<Answer> answer, Request request, Response response) {
		try (response) {
			String body = response.body().string();
			int code = response.code();
			if (response.isSuccessful() || code == NOT_FOUND || code == CONFLICT) {
				answer.complete(new Answer(code, body));
				return;
			}
			answer
				.completeExceptionally(new PlatformException(request.url() + ": answered " + code, code >= 500, null));
		}
		catch (IOException ex) {
			answer.completeExceptionally(new PlatformException(request.url() + ": answer was cut", true, ex));
		}
	}

	/**
	 * An answer that arrived whole.
	 *
	 * @param code the status
	 * @param body the body
	 */
	record Answer(int code, String body) {

		boolean isFound() {
			return this.code != NOT_FOUND;
		}

		boolean isConflict() {
			return this.code == CONFLICT;
		}

	}

}
