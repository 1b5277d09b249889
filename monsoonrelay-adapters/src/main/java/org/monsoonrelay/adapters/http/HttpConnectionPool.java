package org.monsoonrelay.adapters.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.Semaphore;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.timeout.IdleStateHandler;
import org.monsoonrelay.model.host.HostAddress;

/**
 * The connections to one address, all on one event loop. The connection that became idle
 * last is reused first. Connections may go silent together without being closed: if an
 * exchange on a reused connection times out, no connection that has been idle since
 * before its request is used again. No more connections are open than exchanges may run
 * with the recipients at the address at the same time: a server that limits its
 * connections may hold those of a client that has lost power for long, beside those of
 * the next one. The cost of a lookup does not depend on the number of connections to
 * other addresses. Thread-safe: calls are passed to the event loop, to which all other
 * state is confined.
 */
final class HttpConnectionPool {

	/** Time after which an idle connection is closed, seconds. */
	private static final int IDLE_TIMEOUT_SECONDS = 60;

	/** Maximum size of a response, bytes; a page of 500 rows has about 1 MB. */
	private static final int MAXIMUM_RESPONSE_BYTES = 64 * 1024 * 1024;

	private final HostAddress address;

	private final EventLoop loop;

	private final Bootstrap bootstrap;

	private final Deque<HttpConnection> idleConnections = new ArrayDeque<>();

	private final Semaphore idlePermits;

	private final int maximumCalls;

	// Those with calls that are active or wait.
	private final Map<String, Recipient> recipients = new HashMap<>();

	/**
	 * Creates a pool.
	 * @param address the address of the server
	 * @param loop the event loop of the connections
	 * @param connectTimeout the maximum time to establish a connection
	 * @param idlePermits one permit per connection that may become idle, shared by all
	 * pools of the client
	 * @param maximumCalls the maximum number of concurrent exchanges with one recipient,
	 * and so of open connections if only one listens at the address; further exchanges
	 * wait until their timeout
	 */
	HttpConnectionPool(HostAddress address, EventLoop loop, Duration connectTimeout, Semaphore idlePermits,
			int maximumCalls) {
		this.address = address;
		this.loop = loop;
		this.idlePermits = idlePermits;
		this.maximumCalls = maximumCalls;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
			.handler(new Pipeline());
	}

	/**
	 * Starts an exchange on an idle or a new connection.
	 * @param call the exchange
	 */
	void send(HttpCall call) {
		if (this.loop.inEventLoop()) {
			start(call);
		}
		else {
			this.loop.execute(() -> start(call));
		}
	}

	private void start(HttpCall call) {
		call.startTimeout(this.loop);
		Recipient recipient = this.recipients.computeIfAbsent(call.recipient(), Recipient::new);
		if (recipient.activeCalls < this.maximumCalls) {
			activate(recipient, call);
		}
		else {
			recipient.waitingCalls.add(call);
		}
	}

	private void activate(Recipient recipient, HttpCall call) {
		recipient.activeCalls++;
		call.response().whenComplete((response, failure) -> this.loop.execute(() -> activateNext(recipient)));
		connect(call);
	}

	private void activateNext(Recipient recipient) {
		recipient.activeCalls--;
		HttpCall next = recipient.waitingCalls.poll();
		while (next != null && next.isDone()) {
			next = recipient.waitingCalls.poll();
		}
		if (next != null) {
			activate(recipient, next);
		}
		else if (recipient.activeCalls == 0) {
			this.recipients.remove(recipient.name);
		}
	}

	private void connect(HttpCall call) {
		HttpConnection connection = call.needsNewConnection() ? null : takeIdle();
		while (connection != null && !connection.isOpen()) {
			connection = takeIdle();
		}
		if (connection != null) {
			HttpConnection reused = connection;
			long sentNanos = System.nanoTime();
			call.onTimeout(() -> {
				reused.close();
				closeIdleSinceBefore(sentNanos);
			});
			reused.send(call);
			return;
		}
		ChannelFuture connectFuture = this.bootstrap.connect(this.address.host(), this.address.port());
		call.onTimeout(() -> connectFuture.channel().close());
		connectFuture.addListener((done) -> onConnected(connectFuture, call));
	}

	private void closeIdleSinceBefore(long nanos) {
		HttpConnection oldest = this.idleConnections.peekFirst();
		while (oldest != null && oldest.idleSinceNanos() - nanos < 0) {
			remove(oldest);
			oldest.close();
			oldest = this.idleConnections.peekFirst();
		}
	}

	private HttpConnection takeIdle() {
		HttpConnection connection = this.idleConnections.pollLast();
		if (connection != null) {
			this.idlePermits.release();
		}
		return connection;
	}

	private void onConnected(ChannelFuture connectFuture, HttpCall call) {
		if (!connectFuture.isSuccess()) {
			call.fail(String.valueOf(connectFuture.cause().getMessage()), connectFuture.cause());
		}
		else if (!call.isDone()) {
			connectFuture.channel().pipeline().get(HttpConnection.class).send(call);
		}
	}

	/**
	 * Returns a reusable connection to the pool, or closes it if too many connections are
	 * idle.
	 * @param connection the connection
	 */
	void release(HttpConnection connection) {
		if (this.idlePermits.tryAcquire()) {
			connection.becomeIdle(System.nanoTime());
			this.idleConnections.addLast(connection);
		}
		else {
			connection.close();
		}
	}

	/**
	 * Removes a closed connection from the idle connections.
	 * @param connection the connection
	 */
	void remove(HttpConnection connection) {
		if (this.idleConnections.remove(connection)) {
			this.idlePermits.release();
		}
	}

	/** One of those who listen at the address. Confined to the event loop. */
	private static final class Recipient {

		private final String name;

		private final Queue<HttpCall> waitingCalls = new ArrayDeque<>();

		private int activeCalls;

		Recipient(String name) {
			this.name = name;
		}

	}

	private final class Pipeline extends ChannelInitializer<SocketChannel> {

		@Override
		protected void initChannel(SocketChannel channel) {
			HttpConnection connection = new HttpConnection(HttpConnectionPool.this, channel);
			channel.pipeline()
				.addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_SECONDS))
				.addLast(new ArrivalHandler(connection))
				.addLast(new HttpClientCodec())
				.addLast(new HttpObjectAggregator(MAXIMUM_RESPONSE_BYTES))
				.addLast(connection);
		}

	}

	/** Tells a connection of bytes that the aggregator holds back until the last. */
	private static final class ArrivalHandler extends ChannelInboundHandlerAdapter {

		private final HttpConnection connection;

		ArrivalHandler(HttpConnection connection) {
			this.connection = connection;
		}

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.connection.received();
			context.fireChannelRead(message);
		}

	}

}
