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
 * One HTTP exchange: a request and its pending response. Invariant: a failure states that
 * the request may have taken effect if the request had already been passed to a
 * connection. Confined to the event loop of its connection once the timeout has started;
 * the future of the response is thread-safe.
 */
final class HttpCall {

	private static final String SCHEME = "http://";

	private final CompletableFuture<JsonHttpClient.Response> response = new CompletableFuture<>();

	private final HttpMethod method;

	private final String url;

	private final HostAddress address;

	private final String target;

	private final byte[] body;

	private final Map<String, String> headers;

	private final Duration timeout;

	private Runnable onReceived = () -> {
	};

	private Runnable onTimeout = () -> {
	};

	private String recipient = "";

	private boolean needsNewConnection;

	private boolean running;

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

	/**
	 * Requires a new connection, also if an idle one exists.
	 * @return this call, which must not have been submitted
	 */
	HttpCall onNewConnection() {
		this.needsNewConnection = true;
		return this;
	}

	/**
	 * Sets for whom the request is at its address, where several recipients may listen.
	 * @param name the recipient
	 * @return this call, which must not have been submitted
	 */
	HttpCall to(String name) {
		this.recipient = name;
		return this;
	}

	String recipient() {
		return this.recipient;
	}

	/**
	 * Tells when bytes of the response arrive.
	 * @param listener called on the event loop of the connection, must not block
	 * @return this call, which must not have been submitted
	 */
	HttpCall onReceived(Runnable listener) {
		this.onReceived = listener;
		return this;
	}

	void received() {
		this.onReceived.run();
	}

	boolean needsNewConnection() {
		return this.needsNewConnection;
	}

	/**
	 * Whether it is one of the concurrent exchanges, rather than waiting to become one.
	 * Guarded by the client.
	 * @return {@code true} from {@link #setRunning()} on
	 */
	boolean isRunning() {
		return this.running;
	}

	void setRunning() {
		this.running = true;
	}

	HostAddress address() {
		return this.address;
	}

	CompletableFuture<JsonHttpClient.Response> response() {
		return this.response;
	}

	boolean isDone() {
		return this.response.isDone();
	}

	/**
	 * Starts the timeout of the exchange, which includes the time until a connection is
	 * free.
	 * @param loop the event loop of the connections
	 */
	void startTimeout(EventLoop loop) {
		this.timer = loop.schedule(() -> {
			fail("no answer in " + this.timeout.toMillis() + " ms", null);
			this.onTimeout.run();
		}, this.timeout.toNanos(), TimeUnit.NANOSECONDS);
	}

	/**
	 * Sets what is to be done if the timeout passes.
	 * @param action called after the exchange has failed because of the timeout
	 */
	void onTimeout(Runnable action) {
		this.onTimeout = action;
	}

	/**
	 * Creates the request message and marks the request as sent.
	 * @return the request message
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

	void complete(JsonHttpClient.Response received) {
		this.timer.cancel(false);
		this.response.complete(received);
	}

	void fail(String reason, Throwable cause) {
		if (!isDone()) {
			this.timer.cancel(false);
			this.response.completeExceptionally(new PlatformException(this.url + ": " + reason, this.sent, cause));
		}
	}

}
