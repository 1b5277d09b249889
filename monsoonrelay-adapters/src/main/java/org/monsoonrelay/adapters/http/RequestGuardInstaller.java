package org.monsoonrelay.adapters.http;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import io.netty.bootstrap.ChannelInitializerExtension;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpServerCodec;

/**
 * Puts a {@link RequestGuard} into each connection of this process's HTTP servers. Jooby
 * gives no access to its pipeline, so that Netty's own extension point is used, which
 * finds this class by its service file. Connections of other servers stay as they are.
 * Thread-safe.
 */
public final class RequestGuardInstaller extends ChannelInitializerExtension {

	private static final Map<Integer, RequestLimits> LIMITS = new ConcurrentHashMap<>();

	/**
	 * Let Netty find this class. It looks once, when the first server of the process is
	 * set up, so that whoever sets one up calls this before.
	 */
	public static void enable() {
		System.setProperty(EXTENSIONS_SYSTEM_PROPERTY, "serviceload");
	}

	static void register(int port, RequestLimits limits) {
		LIMITS.put(port, limits);
	}

	@Override
	public void postInitializeServerChildChannel(Channel channel) {
		int port = ((InetSocketAddress) channel.localAddress()).getPort();
		Optional.ofNullable(LIMITS.get(port)).ifPresent((limits) -> {
			channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
			channel.pipeline().addLast(new LateInitializer(limits));
		});
	}

	/**
	 * Runs after Jooby has built its pipeline. Used by one connection.
	 */
	private static final class LateInitializer extends ChannelInitializer<Channel> {

		private final RequestLimits limits;

		private LateInitializer(RequestLimits limits) {
			this.limits = limits;
		}

		@Override
		protected void initChannel(Channel channel) {
			String codec = channel.pipeline().context(HttpServerCodec.class).name();
			RequestGuard guard = new RequestGuard(this.limits);
			channel.pipeline().addAfter(codec, "request-guard", guard);
			ChannelHandlerContext context = channel.pipeline().context(guard);
			channel.pipeline().addFirst("request-start", new ChannelInboundHandlerAdapter() {
				@Override
				public void channelRead(ChannelHandlerContext first, Object bytes) {
					guard.onBytesReceived(context);
					first.fireChannelRead(bytes);
				}
			});
		}

	}

}
