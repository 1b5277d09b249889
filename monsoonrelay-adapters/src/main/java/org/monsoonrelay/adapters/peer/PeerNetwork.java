package org.monsoonrelay.adapters.peer;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.monsoonrelay.adapters.http.RequestGuardInstaller;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Hello;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Connections to the other processes: one duplex connection a pair, opened when first
 * needed and used in both directions. A connection on which nothing arrives for the
 * silence limit is closed, so that a silent one does not outlive its use. Thread-safe.
 */
public final class PeerNetwork implements AutoCloseable {

	private static final int NETWORK_THREADS = 2;

	private static final int MAXIMUM_FRAME_BYTES = 32 * 1024 * 1024;

	private static final int CONNECT_TIMEOUT_MILLIS = 1000;

	/** How long tasks of the event loops may hold up a close, seconds. */
	private static final int SHUTDOWN_SECONDS = 1;

	private final PeerIdentity self;

	private final String secret;

	private final PeerHandler handler;

	private final PeerTimings timings;

	private final EventLoopGroup group;

	private final Map<HostAddress, CompletableFuture<PeerConnection>> connections = new ConcurrentHashMap<>();

	private Channel server;

	static {
		RequestGuardInstaller.enable();
	}

	public PeerNetwork(PeerIdentity self, String secret, PeerHandler handler) {
		this(self, secret, handler, PeerTimings.DEFAULT);
	}

	public PeerNetwork(PeerIdentity self, String secret, PeerHandler handler, PeerTimings timings) {
		this(self, secret, handler, timings,
				new NioEventLoopGroup(NETWORK_THREADS, new DefaultThreadFactory("peer", true)));
	}

	PeerNetwork(PeerIdentity self, String secret, PeerHandler handler, PeerTimings timings, EventLoopGroup group) {
		this.group = group;
		this.self = self;
		this.secret = secret;
		this.handler = handler;
		this.timings = timings;
	}

	/**
	 * Listen for peers.
	 * @throws IllegalStateException if the address cannot be bound
	 */
	public void listen() {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(initializer(null));
		var bound = bootstrap.bind(this.self.address().host(), this.self.address().port()).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IllegalStateException(
					"cannot listen for peers at " + this.self.address() + ": " + bound.cause().getMessage(),
					bound.cause());
		}
		this.server = bound.channel();
	}

	/**
	 * Send a request.
	 * @param peer where the peer listens
	 * @param body the request's body
	 * @param timeout how long to wait for the reply, the time to connect included
	 * @return the reply; fails if none came in time
	 */
	public CompletableFuture<Envelope> request(HostAddress peer, Envelope.Builder body, Duration timeout) {
		long endNanos = System.nanoTime() + timeout.toNanos();
		return connection(peer).copy()
			.orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS)
			.thenCompose((connection) -> connection.request(body, Duration.ofNanos(endNanos - System.nanoTime())));
	}

	/**
	 * Send a one-way message, if a connection is there or can be made. One to this
	 * process goes straight to its handler.
	 * @param peer where the peer listens
	 * @param body the message's body
	 */
	public void tell(HostAddress peer, Envelope.Builder body) {
		if (peer.equals(this.self.address())) {
			this.handler.handle(this.self, body.build());
			return;
		}
		connection(peer).thenAccept((connection) -> connection.tell(body));
	}

	/**
	 * Send the same one-way message to several peers. It is encoded once.
	 * @param peers where the peers listen
	 * @param body the message's body
	 */
	public void tell(Collection<HostAddress> peers, Envelope.Builder body) {
		Envelope message = body.setCorrelationId(0).build();
		byte[] encoded = message.toByteArray();
		for (HostAddress peer : peers) {
			if (peer.equals(this.self.address())) {
				this.handler.handle(this.self, message);
			}
			else {
				connection(peer).thenAccept((connection) -> connection.tell(encoded));
			}
		}
	}

	private CompletableFuture<PeerConnection> connection(HostAddress peer) {
		CompletableFuture<PeerConnection> ready = new CompletableFuture<>();
		CompletableFuture<PeerConnection> present = this.connections.putIfAbsent(peer, ready);
		if (present != null) {
			return present;
		}
		connect(peer, ready);
		return ready;
	}

	private void connect(HostAddress peer, CompletableFuture<PeerConnection> ready) {
		CompletableFuture<PeerConnection> attempt = new CompletableFuture<>();
		// Callers hear of a failure only once the failed connection is forgotten, so that
		// one that asks again at once gets a new try.
		attempt.whenComplete((connection, failure) -> {
			if (failure != null) {
				this.connections.remove(peer, ready);
				ready.completeExceptionally(failure);
			}
			else {
				connection.onClose(() -> this.connections.remove(peer, ready));
				ready.complete(connection);
			}
		});
		Bootstrap bootstrap = new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.handler(initializer(attempt));
		bootstrap.connect(peer.host(), peer.port()).addListener((done) -> {
			if (!done.isSuccess()) {
				attempt.completeExceptionally(new PeerException("cannot reach peer " + peer, done.cause()));
			}
		});
	}

	private ChannelInitializer<SocketChannel> initializer(CompletableFuture<PeerConnection> attempt) {
		return new ChannelInitializer<>() {
			@Override
			protected void initChannel(SocketChannel channel) {
				channel.pipeline()
					.addLast(new IdleStateHandler(PeerNetwork.this.timings.silenceLimit().toMillis(),
							PeerNetwork.this.timings.pingAfter().toMillis(), 0, TimeUnit.MILLISECONDS))
					.addLast(new ProtobufVarint32FrameDecoder())
					.addLast(new FrameLimit(MAXIMUM_FRAME_BYTES))
					.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
					.addLast(new ProtobufVarint32LengthFieldPrepender())
					.addLast(new ProtobufEncoder())
					.addLast(new PeerConnection(PeerNetwork.this, channel, attempt));
			}
		};
	}

	Hello hello() {
		return Hello.newBuilder()
			.setSession(this.self.session())
			.setRole(this.self.role())
			.setFailureDomain(this.self.failureDomain())
			.setAddress(this.self.address().toString())
			.setSecret(this.secret)
			.build();
	}

	/**
	 * Use a connection no more, at once and before it is closed.
	 * @param connection the connection
	 */
	void forget(PeerConnection connection) {
		this.connections.values()
			.removeIf((ready) -> ready.isDone() && !ready.isCompletedExceptionally() && ready.join() == connection);
	}

	String secret() {
		return this.secret;
	}

	PeerTimings timings() {
		return this.timings;
	}

	PeerHandler handler() {
		return this.handler;
	}

	/**
	 * Use an accepted connection for requests to that peer, too.
	 * @param peer the peer
	 * @param connection the connection
	 */
	void adopt(PeerIdentity peer, PeerConnection connection) {
		CompletableFuture<PeerConnection> ready = CompletableFuture.completedFuture(connection);
		if (this.connections.putIfAbsent(peer.address(), ready) == null) {
			connection.onClose(() -> this.connections.remove(peer.address(), ready));
		}
	}

	/**
	 * Close all connections and stop listening. The address can be listened at again once
	 * this returns: a selector keeps the listening socket of a closed channel until its
	 * next selection, so that only the end of the event loops says that it is gone.
	 */
	@Override
	public void close() {
		if (this.server != null) {
			this.server.close();
		}
		this.group.shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS)
			.awaitUninterruptibly(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
	}

}
