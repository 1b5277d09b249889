package org.monsoonrelay.adapters.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.monsoonrelay.logic.platform.Json;

/**
 * Handler between the HTTP codec of one connection and the application. Invariants: the
 * application receives one request at a time, so that responses are sent in the order of
 * their requests; it receives no part of a request that the codec failed to decode; a
 * request that is malformed, too large or too slow is answered with a problem and the
 * connection is closed; a caller that has closed its sending side still receives the
 * response. Confined to the event loop of the connection.
 */
final class RequestGuard extends ChannelDuplexHandler {

	private final RequestLimits limits;

	private final Deque<HttpObject> queued = new ArrayDeque<>();

	private ScheduledFuture<?> receiveTimer;

	private long bodyBytes;

	private boolean receiving;

	private boolean responsePending;

	private boolean closing;

	private boolean inputClosed;

	RequestGuard(RequestLimits limits) {
		this.limits = limits;
	}

	/**
	 * Starts the receive timeout if the bytes may be the start of a request.
	 * @param context the context of this handler
	 */
	void onBytesReceived(ChannelHandlerContext context) {
		if (this.receiveTimer == null && !this.responsePending && !this.closing) {
			this.receiveTimer = context.executor()
				.schedule(() -> reject(context, HttpResponseStatus.REQUEST_TIMEOUT),
						this.limits.receiveTimeout().toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closing || !(message instanceof HttpObject object)) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.responsePending && !this.receiving) {
			this.queued.add(object);
			context.channel().config().setAutoRead(false);
			return;
		}
		forward(context, object);
	}

	private void forward(ChannelHandlerContext context, HttpObject object) {
		if (object.decoderResult().isFailure()) {
			ReferenceCountUtil.release(object);
			reject(context, statusFor(object.decoderResult().cause()));
			return;
		}
		if (object instanceof HttpRequest request && !startRequest(context, request)) {
			ReferenceCountUtil.release(object);
			return;
		}
		if (object instanceof HttpContent content && isTooLarge(content)) {
			ReferenceCountUtil.release(object);
			reject(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		boolean isLast = object instanceof LastHttpContent;
		if (isLast) {
			this.receiving = false;
			cancelReceiveTimer();
		}
		if (object instanceof HttpContent && !this.responsePending) {
			// The response was sent before the request was complete: discard the rest.
			ReferenceCountUtil.release(object);
			if (!isLast) {
				close(context);
			}
			return;
		}
		context.fireChannelRead(object);
	}

	private boolean startRequest(ChannelHandlerContext context, HttpRequest request) {
		if (HttpUtil.getContentLength(request, 0L) > this.limits.maximumBodyBytes()) {
			reject(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return false;
		}
		this.bodyBytes = 0;
		this.receiving = true;
		this.responsePending = true;
		onBytesReceived(context);
		if (HttpUtil.is100ContinueExpected(request)) {
			context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
		FormBodyPassthrough.hideContentType(request.headers());
		return true;
	}

	private boolean isTooLarge(HttpContent content) {
		this.bodyBytes += content.content().readableBytes();
		return this.bodyBytes > this.limits.maximumBodyBytes();
	}

	private static HttpResponseStatus statusFor(Throwable cause) {
		if (cause instanceof TooLongHttpLineException) {
			return HttpResponseStatus.REQUEST_URI_TOO_LONG;
		}
		return (cause instanceof TooLongHttpHeaderException) ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
				: HttpResponseStatus.BAD_REQUEST;
	}

	@Override
	public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
		if (this.closing) {
			ReferenceCountUtil.release(message);
			promise.tryFailure(new IllegalStateException("the connection is closing"));
			return;
		}
		if (!(message instanceof LastHttpContent)) {
			context.write(message, promise);
			return;
		}
		this.responsePending = false;
		context.write(message, promise.unvoid()).addListener((written) -> {
			if (this.inputClosed && this.queued.isEmpty()) {
				close(context);
			}
			forwardQueued(context);
		});
	}

	private void forwardQueued(ChannelHandlerContext context) {
		if (this.queued.isEmpty()) {
			return;
		}
		while (!this.queued.isEmpty() && !this.closing && (this.receiving || !this.responsePending)) {
			forward(context, this.queued.poll());
		}
		context.fireChannelReadComplete();
		if (this.queued.isEmpty()) {
			context.channel().config().setAutoRead(true);
		}
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			this.inputClosed = true;
			if (this.receiving || !this.responsePending) {
				close(context);
			}
		}
		context.fireUserEventTriggered(event);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		cancelReceiveTimer();
		this.queued.forEach(ReferenceCountUtil::release);
		this.queued.clear();
		context.fireChannelInactive();
	}

	private void reject(ChannelHandlerContext context, HttpResponseStatus status) {
		if (this.closing) {
			return;
		}
		this.closing = true;
		cancelReceiveTimer();
		Problem problem = Problem.of("invalid-request", "Invalid request", status.code(),
				"Not run: " + status.reasonPhrase());
		byte[] body = Json.write(problem).getBytes(StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status,
				Unpooled.wrappedBuffer(body));
		response.headers()
			.set(HttpHeaderNames.CONTENT_TYPE, Problem.CONTENT_TYPE)
			.set(HttpHeaderNames.CONTENT_LENGTH, body.length)
			.set(HttpHeaderNames.CONNECTION, "close");
		context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	private void close(ChannelHandlerContext context) {
		this.closing = true;
		cancelReceiveTimer();
		context.close();
	}

	private void cancelReceiveTimer() {
		if (this.receiveTimer != null) {
			this.receiveTimer.cancel(false);
			this.receiveTimer = null;
		}
	}

}
