package org.monsoonrelay.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * Blocking HTTP calls for tests and the demo. Thread-safe.
 */
public final class Calls {

	/** How long a call may take. */
	static final Duration LIMIT = Duration.ofSeconds(30);

	private static final Duration PROBE_LIMIT = Duration.ofSeconds(2);

	private static final HttpClient CLIENT = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	private Calls() {
	}

	/**
	 * Tell whether a URL answers with success.
	 * @param url the URL
	 * @return {@code false} if it answers otherwise or not at all
	 */
	public static boolean isOk(String url) {
		try {
			return send(HttpRequest.newBuilder(URI.create(url)).timeout(PROBE_LIMIT).build()).statusCode() == 200;
		}
		catch (UncheckedIOException ex) {
			return false;
		}
	}

	/**
	 * Get a URL's body.
	 * @param url the URL
	 * @return the body
	 */
	public static String get(String url) {
		return send(HttpRequest.newBuilder(URI.create(url)).timeout(LIMIT).build()).body();
	}

	/**
	 * Post a body.
	 * @param url the URL
	 * @param body the body
	 * @return the answer
	 */
	public static HttpResponse<String> post(String url, String body) {
		return send(HttpRequest.newBuilder(URI.create(url))
			.timeout(LIMIT)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build());
	}

	/**
	 * Send a request.
	 * @param request the request
	 * @return the answer
	 * @throws UncheckedIOException if none came
	 */
	public static HttpResponse<String> send(HttpRequest request) {
		try {
			return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

}
