package org.monsoonrelay.adapters.peer;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Empty;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Failure;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Hello;
import org.monsoonrelay.model.host.HostAddress;

/**
 * One connection to a peer. Invariants: nothing but a hello is handled before the peer
 * has shown the cell's secret, and one that calls upon this process is sent nothing
 * before; a reply goes only to the request whose correlation id it carries. Thread-safe:
 * state is concurrent, reads arrive on the channel's thread.
 */
final class PeerConnection extends SimpleChannelInboundHandler<Envelope> {

	private static final System.Logger LOGGER = System.getLogger(PeerConnection.class.getName());

	private final PeerNetwork network;

	private final Channel channel;

	private final CompletableFuture<PeerConnection> ready;

	private final AtomicLong correlationIds = new AtomicLong();

	private final Map<Long, CompletableFuture<Envelope>> open = new ConcurrentHashMap<>();

	private volatile PeerIdentity peer;

	private volatile long lastReadNanos = System.nanoTime();

	PeerConnection(PeerNetwork network, Channel channel, CompletableFuture<PeerConnection> ready) {
		this.network = network;
		this.channel = channel;
		this.ready = ready;
	}

	CompletableFuture<Envelope> request(Envelope.Builder body, Duration timeout) {
		long id = this.correlationIds.incrementAndGet();
		long startedNanos = System.nanoTime();
		CompletableFuture<Envelope> reply = new CompletableFuture<>();
		this.open.put(id, reply);
		this.channel.writeAndFlush(body.setCorrelationId(id).setRemainingMillis((int) timeout.toMillis()).build())
			.addListener((written) -> {
				if (!written.isSuccess()) {
					reply.completeExceptionally(new PeerException("peer connection is closed", written.cause()));
				}
			});
		return reply.orTimeout(timeout.toNanos(), TimeUnit.NANOSECONDS).whenComplete((envelope, failure) -> {
			this.open.remove(id);
			if (failure instanceof TimeoutException) {
				closeIfSilentSince(startedNanos);
			}
		});
	}

	private void closeIfSilentSince(long startedNanos) {
		// a live peer pings when it has nothing else to send
		long pings = 2 * this.network.timings().pingAfter().toNanos();
		boolean longEnough = System.nanoTime() - startedNanos > pings;
		if (longEnough && this.lastReadNanos - startedNanos < 0) {
			this.network.forget(this);
			this.channel.close();
		}
	}

	void tell(Envelope.Builder body) {
		this.channel.writeAndFlush(body.setCorrelationId(0).build());
	}

	/**
	 * Send a one-way message that is encoded already.
	 * @param encoded the message, not changed any more
	 */
	void tell(byte[] encoded) {
		this.channel.writeAndFlush(Unpooled.wrappedBuffer(encoded));
	}

	void onClose(Runnable action) {
		this.channel.closeFuture().addListener((closed) -> action.run());
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		// whoever is called upon shows the secret only after the caller has shown it
		if (isCaller()) {
			sendHello(context);
		}
	}

	private boolean isCaller() {
		return this.ready != null;
	}

	private void sendHello(ChannelHandlerContext context) {
		context.writeAndFlush(Envelope.newBuilder().setHello(this.network.hello()).build());
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, Envelope message) {
		this.lastReadNanos = System.nanoTime();
		if (this.peer == null) {
			greet(context, message);
		}
		else if (message.getReply()) {
			complete(message);
		}
		else if (!message.hasEmpty()) {
			handle(message);
		}
	}

	private void greet(ChannelHandlerContext context, Envelope message) {
		Hello hello = message.getHello();
		byte[] shown = hello.getSecret().getBytes(StandardCharsets.UTF_8);
		byte[] expected = this.network.secret().getBytes(StandardCharsets.UTF_8);
		if (!message.hasHello() || !MessageDigest.isEqual(shown, expected)) {
			LOGGER.log(System.Logger.Level.WARNING, "refused a stranger at the peer port: {0}",
					this.channel.remoteAddress());
			context.close();
			return;
		}
		this.peer = new PeerIdentity(hello.getSession(), hello.getRole(), hello.getFailureDomain(),
				HostAddress.parse(hello.getAddress()));
		if (isCaller()) {
			this.ready.complete(this);
		}
		else {
			sendHello(context);
			this.network.adopt(this.peer, this);
		}
	}

	private void complete(Envelope reply) {
		CompletableFuture<Envelope> request = this.open.remove(reply.getCorrelationId());
		if (request == null) {
			return;
		}
		if (reply.hasFailure()) {
			request.completeExceptionally(new PeerException(reply.getFailure().getReason(), null));
		}
		else {
			request.complete(reply);
		}
	}

	private void handle(Envelope request) {
		this.network.handler().handle(this.peer, request).whenComplete((body, failure) -> {
			if (request.getCorrelationId() == 0) {
				return;
			}
			Envelope.Builder reply = (failure != null)
					? Envelope.newBuilder().setFailure(Failure.newBuilder().setReason(String.valueOf(failure))) : body;
			this.channel.writeAndFlush(reply.setCorrelationId(request.getCorrelationId()).setReply(true).build());
		});
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent idle) {
			if (idle.state() == IdleState.READER_IDLE) {
				context.close();
			}
			else if (this.peer != null) {
				context.writeAndFlush(Envelope.newBuilder().setEmpty(Empty.getDefaultInstance()).build());
			}
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		PeerException closed = new PeerException("peer connection closed", null);
		this.open.values().forEach((request) -> request.completeExceptionally(closed));
		if (isCaller()) {
			this.ready.completeExceptionally(closed);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		LOGGER.log(System.Logger.Level.DEBUG, "peer connection failed", cause);
		context.close();
	}

}
