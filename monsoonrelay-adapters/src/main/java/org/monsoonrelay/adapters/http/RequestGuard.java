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
 * Stands between the HTTP codec of one connection and the application. Invariants: the
 * application sees one request at a time, so that answers leave in the order of their
 * requests; it sees no request that could not be read whole into the codec; a request
 * that is malformed, too large or too slow gets a problem and the connection is closed; a
 * caller that has closed its sending side still gets its answer. Used by the connection's
 * event loop only.
 */
final class RequestGuard extends ChannelDuplexHandler {

	private final RequestLimits limits;

	private final Deque<HttpObject> queued = new ArrayDeque<>();

	private ScheduledFuture<?> receiveTimeout;

	private long bodyBytes;

	private boolean receiving;

	private boolean answering;

	private boolean closing;

	private boolean inputClosed;

	RequestGuard(RequestLimits limits) {
		this.limits = limits;
	}

	/**
	 * Note that bytes have arrived that may begin a request.
	 * @param context the context of this handler
	 */
	void onBytesReceived(ChannelHandlerContext context) {
		if (this.receiveTimeout == null && !this.answering && !this.closing) {
			this.receiveTimeout = context.executor()
				.schedule(() -> refuse(context, HttpResponseStatus.REQUEST_TIMEOUT),
						this.limits.receiveTimeout().toMillis(), TimeUnit.MILLISECONDS);
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (this.closing || !(message instanceof HttpObject object)) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.answering && !this.receiving) {
			this.queued.add(object);
			context.channel().config().setAutoRead(false);
			return;
		}
		pass(context, object);
	}

	private void pass(ChannelHandlerContext context, HttpObject object) {
		if (object.decoderResult().isFailure()) {
			ReferenceCountUtil.release(object);
			refuse(context, status(object.decoderResult().cause()));
			return;
		}
		if (object instanceof HttpRequest request && !begin(context, request)) {
			ReferenceCountUtil.release(object);
			return;
		}
		if (object instanceof HttpContent content && isTooLarge(content)) {
			ReferenceCountUtil.release(object);
			refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return;
		}
		boolean last = object instanceof LastHttpContent;
		if (last) {
			this.receiving = false;
			cancelTimeout();
		}
		if (object instanceof HttpContent && !this.answering) {
			// Answered before it was received whole: the rest is of no use.
			ReferenceCountUtil.release(object);
			if (!last) {
				close(context);
			}
			return;
		}
		context.fireChannelRead(object);
	}

	private boolean begin(ChannelHandlerContext context, HttpRequest request) {
		if (HttpUtil.getContentLength(request, 0L) > this.limits.maximumBodyBytes()) {
			refuse(context, HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
			return false;
		}
		this.bodyBytes = 0;
		this.receiving = true;
		this.answering = true;
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

	private static HttpResponseStatus status(Throwable cause) {
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
		this.answering = false;
		context.write(message, promise.unvoid()).addListener((written) -> {
			if (this.inputClosed && this.queued.isEmpty()) {
				close(context);
			}
			next(context);
		});
	}

	private void next(ChannelHandlerContext context) {
		if (this.queued.isEmpty()) {
			return;
		}
		while (!this.queued.isEmpty() && !this.closing && (this.receiving || !this.answering)) {
			pass(context, this.queued.poll());
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
			if (this.receiving || !this.answering) {
				close(context);
			}
		}
		context.fireUserEventTriggered(event);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		cancelTimeout();
		this.queued.forEach(ReferenceCountUtil::release);
		this.queued.clear();
		context.fireChannelInactive();
	}

	private void refuse(ChannelHandlerContext context, HttpResponseStatus status) {
		if (this.closing) {
			return;
		}
		this.closing = true;
		cancelTimeout();
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
		cancelTimeout();
		context.close();
	}

	private void cancelTimeout() {
		if (this.receiveTimeout != null) {
			this.receiveTimeout.cancel(false);
			this.receiveTimeout = null;
		}
	}

}
