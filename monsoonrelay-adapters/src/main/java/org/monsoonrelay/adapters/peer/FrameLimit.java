package org.monsoonrelay.adapters.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Refuses frames above a size. Used by one channel.
 */
final class FrameLimit extends ChannelInboundHandlerAdapter {

	private final int maximumBytes;

	FrameLimit(int maximumBytes) {
		this.maximumBytes = maximumBytes;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		if (message instanceof ByteBuf frame && frame.readableBytes() > this.maximumBytes) {
			frame.release();
			throw new TooLongFrameException("peer frame above " + this.maximumBytes + " bytes");
		}
		context.fireChannelRead(message);
	}

}
