package org.monsoonrelay.adapters.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Semaphore;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
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
 * The connections to one address, all on one event loop: the one that was idle last is
 * used first. Finding it doesn't grow with the connections to other addresses.
 * Thread-safe: calls are handed to the event loop, to which all else is confined.
 */
final class HttpConnectionPool {

	/** An idle connection is closed after this long, seconds. */
	private static final int IDLE_SECONDS = 60;

	/** The most that is read of an answer, bytes; a page of 500 rows has some 1 MB. */
	private static final int MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

	private final HostAddress address;

	private final EventLoop loop;

	private final Bootstrap bootstrap;

	private final Deque<HttpConnection> idle = new ArrayDeque<>();

	private final Semaphore idlePermits;

	/**
	 * Create an pool.
	 * @param address the address
	 * @param loop the event loop of its connections
	 * @param connectTimeout the longest time to connect
	 * @param idlePermits how many connections more may be idle, here and elsewhere
	 */
	HttpConnectionPool(HostAddress address, EventLoop loop, Duration connectTimeout, Semaphore idlePermits) {
		this.address = address;
		this.loop = loop;
		this.idlePermits = idlePermits;
		this.bootstrap = new Bootstrap().group(loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
			.handler(new Pipeline());
	}

	/**
	 * Begin an exchange.
	 * @param call the exchange
	 */
	void send(HttpCall call) {
		if (this.loop.inEventLoop()) {
			begin(call);
		}
		else {
			this.loop.execute(() -> begin(call));
		}
	}

	private void begin(HttpCall call) {
		HttpConnection connection = takeIdle();
		while (connection != null && !connection.isOpen()) {
			connection = takeIdle();
		}
		if (connection != null) {
			call.startTimeout(this.loop, connection::close);
			connection.send(call);
			return;
		}
		ChannelFuture connecting = this.bootstrap.connect(this.address.host(), this.address.port());
		call.startTimeout(this.loop, () -> connecting.channel().close());
		connecting.addListener((done) -> connected(connecting, call));
	}

	private HttpConnection takeIdle() {
		HttpConnection connection = this.idle.pollLast();
		if (connection != null) {
			this.idlePermits.release();
		}
		return connection;
	}

	private void connected(ChannelFuture connecting, HttpCall call) {
		if (!connecting.isSuccess()) {
			call.fail(String.valueOf(connecting.cause().getMessage()), connecting.cause());
		}
		else if (!call.isDone()) {
			connecting.channel().pipeline().get(HttpConnection.class).send(call);
		}
	}

	/**
	 * Take a connection back that can be used again. It is closed if too many are idle.
	 * @param connection the connection
	 */
	void release(HttpConnection connection) {
		if (this.idlePermits.tryAcquire()) {
			this.idle.addLast(connection);
		}
		else {
			connection.close();
		}
	}

	/**
	 * Use a connection no more.
	 * @param connection the connection
	 */
	void remove(HttpConnection connection) {
		if (this.idle.remove(connection)) {
			this.idlePermits.release();
		}
	}

	private final class Pipeline extends ChannelInitializer<SocketChannel> {

		@Override
		protected void initChannel(SocketChannel channel) {
			channel.pipeline()
				.addLast(new IdleStateHandler(0, 0, IDLE_SECONDS))
				.addLast(new HttpClientCodec())
				.addLast(new HttpObjectAggregator(MAXIMUM_ANSWER_BYTES))
				.addLast(new HttpConnection(HttpConnectionPool.this, channel));
		}

	}

}
