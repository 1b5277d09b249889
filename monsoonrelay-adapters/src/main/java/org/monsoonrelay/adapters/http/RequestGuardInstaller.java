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
 * Adds a {@link RequestGuard} to each connection of the HTTP servers of this process.
 * Jooby gives no access to its pipeline, so this class uses the extension point of Netty,
 * which finds it by its service file. Connections of other servers are not changed.
 * Thread-safe.
 */
public final class RequestGuardInstaller extends ChannelInitializerExtension {

	private static final Map<Integer, RequestLimits> LIMITS_BY_PORT = new ConcurrentHashMap<>();

	/**
	 * Enables the extension point of Netty. Netty looks for extensions only once, when
	 * the first server of the process is set up, so this method has to be called before
	 * any server is set up.
	 */
	public static void enable() {
		System.setProperty(EXTENSIONS_SYSTEM_PROPERTY, "serviceload");
	}

	static void register(int port, RequestLimits limits) {
		LIMITS_BY_PORT.put(port, limits);
	}

	@Override
	public void postInitializeServerChildChannel(Channel channel) {
		int port = ((InetSocketAddress) channel.localAddress()).getPort();
		Optional.ofNullable(LIMITS_BY_PORT.get(port)).ifPresent((limits) -> {
			channel.config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
			channel.pipeline().addLast(new GuardInitializer(limits));
		});
	}

	/**
	 * Adds the guard of one connection after Jooby has built the pipeline.
	 */
	private static final class GuardInitializer extends ChannelInitializer<Channel> {

		private final RequestLimits limits;

		private GuardInitializer(RequestLimits limits) {
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
