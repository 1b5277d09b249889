package org.monsoonrelay.adapters.http;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.model.host.HostAddress;

/**
 * One exchange: a request and the answer that is awaited. Invariant: a failure tells that
 * the request may have taken effect once a connection was given its first byte. Confined
 * to the event loop of its connection once it has begun; the answer is thread-safe.
 */
final class HttpCall {

	private static final String SCHEME = "http://";

	private final CompletableFuture<JsonHttpClient.Response> answer = new CompletableFuture<>();

	private final HttpMethod method;

	private final String url;

	private final HostAddress address;

	private final String target;

	private final byte[] body;

	private final Map<String, String> headers;

	private final Duration timeout;

	private boolean sent;

	private ScheduledFuture<?> timer;

	HttpCall(HttpMethod method, String url, byte[] body, Map<String, String> headers, Duration timeout) {
		if (!url.startsWith(SCHEME)) {
			throw new IllegalArgumentException("not a URL of plain HTTP: " + url);
		}
		int path = url.indexOf('/', SCHEME.length());
		this.method = method;
		this.url = url;
		this.address = HostAddress.parse(url.substring(SCHEME.length(), (path < 0) ? url.length() : path));
		this.target = (path < 0) ? "/" : url.substring(path);
		this.body = body;
		this.headers = headers;
		this.timeout = timeout;
	}

	HostAddress address() {
		return this.address;
	}

	CompletableFuture<JsonHttpClient.Response> answer() {
		return this.answer;
	}

	boolean isDone() {
		return this.answer.isDone();
	}

	/**
	 * Begin to count the time.
	 * @param loop the event loop
	 * @param late called if the time has run out, after the failure is told
	 */
	void startTimeout(EventLoop loop, Runnable late) {
		this.timer = loop.schedule(() -> {
			fail("no answer in " + this.timeout.toMillis() + " ms", null);
			late.run();
		}, this.timeout.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * The request, which is about to be sent.
	 * @return its message
	 */
	FullHttpRequest createRequest() {
		this.sent = true;
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.method, this.target,
				Unpooled.wrappedBuffer(this.body));
		request.headers().set("Host", this.address.toString());
		this.headers.forEach((name, value) -> request.headers().set(name, value));
		if (!HttpMethod.GET.equals(this.method)) {
			request.headers().setInt("Content-Length", this.body.length);
		}
		return request;
	}

	void complete(JsonHttpClient.Response given) {
		this.timer.cancel(false);
		this.answer.complete(given);
	}

	void fail(String reason, Throwable cause) {
		if (!isDone()) {
			this.timer.cancel(false);
			this.answer.completeExceptionally(new PlatformException(this.url + ": " + reason, this.sent, cause));
		}
	}

}
