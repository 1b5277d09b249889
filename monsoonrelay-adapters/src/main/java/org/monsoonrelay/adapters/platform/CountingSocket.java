package org.monsoonrelay.adapters.platform;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/**
 * A socket that counts the bytes read from it, so that an answer which was there before
 * its request can be told from one that came after. The count is read by the thread that
 * reads the socket.
 */
final class CountingSocket extends Socket {

	private volatile long bytesRead;

	@Override
	public InputStream getInputStream() throws IOException {
		return new FilterInputStream(super.getInputStream()) {
			@Override
			public int read() throws IOException {
				int read = super.read();
				CountingSocket.this.bytesRead += (read >= 0) ? 1 : 0;
				return read;
			}

			@Override
			public int read(byte[] buffer, int offset, int length) throws IOException {
				int read = super.read(buffer, offset, length);
				CountingSocket.this.bytesRead += Math.max(0, read);
				return read;
			}
		};
	}

	long bytesRead() {
		return this.bytesRead;
	}

	boolean hasUnread() throws IOException {
		return super.getInputStream().available() > 0;
	}

}
