package org.monsoonrelay.adapters.platform;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.adapters.http.JsonHttpClient;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PlatformException;

/**
 * Calls whose answers count only if they tell success, a missing entry or a conflict.
 * Thread-safe.
 */
final class HttpCalls {

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int SERVER_FAULT = 500;

	private final JsonHttpClient client;

	HttpCalls(Duration timeout, int maximumCalls) {
		this.client = new JsonHttpClient(timeout, timeout, maximumCalls);
	}

	CompletableFuture<Answer> get(String url) {
		return this.client.get(url).thenApply((answer) -> checked(url, answer));
	}

	CompletableFuture<Answer> post(String url, Object body) {
		byte[] bytes = Json.write(body).getBytes(StandardCharsets.UTF_8);
		return this.client.post(url, bytes, Map.of(), Duration.ZERO).thenApply((answer) -> checked(url, answer));
	}

	CompletableFuture<Answer> put(String url, String body) {
		return this.client.put(url, body).thenApply((answer) -> checked(url, answer));
	}

	private static Answer checked(String url, JsonHttpClient.Response answer) {
		int code = answer.code();
		if (answer.isSuccess() || code == NOT_FOUND || code == CONFLICT) {
			return new Answer(code, answer.body());
		}
		throw new PlatformException(url + ": answered " + code, code >= SERVER_FAULT, null);
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
