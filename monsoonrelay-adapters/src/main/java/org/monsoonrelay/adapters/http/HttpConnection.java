package org.monsoonrelay.adapters.http;

import java.nio.charset.StandardCharsets;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * One connection of a client. Invariants: it carries one exchange at a time; it is reused
 * only after a complete response; a response without a pending request closes it.
 * Confined to its event loop.
 */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

	private final HttpConnectionPool pool;

	private final Channel channel;

	private HttpCall currentCall;

	private long idleSinceNanos;

	HttpConnection(HttpConnectionPool pool, Channel channel) {
		this.pool = pool;
		this.channel = channel;
	}

	boolean isOpen() {
		return this.channel.isActive();
	}

	void becomeIdle(long nowNanos) {
		this.idleSinceNanos = nowNanos;
	}

	long idleSinceNanos() {
		return this.idleSinceNanos;
	}

	void send(HttpCall call) {
		this.currentCall = call;
		this.channel.writeAndFlush(call.createRequest()).addListener((written) -> {
			if (!written.isSuccess()) {
				call.fail(String.valueOf(written.cause().getMessage()), written.cause());
				close();
			}
		});
	}

	/** Called when bytes have arrived, before they are decoded. */
	void received() {
		if (this.currentCall != null) {
			this.currentCall.received();
		}
	}

	void close() {
		this.channel.close();
	}

	@Override
	protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
		if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
			return;
		}
		HttpCall call = this.currentCall;
		this.currentCall = null;
		boolean isComplete = response.decoderResult().isSuccess();
		if (call != null && isComplete && HttpUtil.isKeepAlive(response) && !call.isDone()) {
			this.pool.release(this);
		}
		else {
			close();
		}
		if (call == null) {
			return;
		}
		if (isComplete) {
			call.complete(new JsonHttpClient.Response(response.status().code(),
					response.content().toString(StandardCharsets.UTF_8)));
		}
		else {
			call.fail("the answer is malformed", response.decoderResult().cause());
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof IdleStateEvent && this.currentCall == null) {
			close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.pool.remove(this);
		if (this.currentCall != null) {
			this.currentCall.fail("answer was cut", null);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		if (this.currentCall != null) {
			this.currentCall.fail(String.valueOf(cause.getMessage()), cause);
		}
		close();
	}

}
