package org.monsoonrelay.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.monsoonrelay.model.host.HostAddress;

/**
 * A caller that sends arbitrary text over a socket. Not thread-safe.
 */
final class RawCaller implements AutoCloseable {

	private static final int READ_TIMEOUT_MILLIS = 10_000;

	private final Socket socket;

	RawCaller(HostAddress gateway) throws IOException {
		this.socket = new Socket(gateway.host(), gateway.port());
		this.socket.setSoTimeout(READ_TIMEOUT_MILLIS);
	}

	RawCaller send(String text) throws IOException {
		this.socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		this.socket.getOutputStream().flush();
		return this;
	}

	RawCaller post(String path, String headers, String body) throws IOException {
		return send("POST " + path + " HTTP/1.1\r\nHost: gateway\r\nContent-Length: "
				+ body.getBytes(StandardCharsets.UTF_8).length + "\r\n" + headers + "\r\n" + body);
	}

	RawCaller halfClose() throws IOException {
		this.socket.shutdownOutput();
		return this;
	}

	/**
	 * Read one response.
	 * @return its head and body, empty if the connection was closed first
	 * @throws IOException if it does not arrive in time
	 */
	String read() throws IOException {
		InputStream in = this.socket.getInputStream();
		StringBuilder head = new StringBuilder();
		while (!head.toString().endsWith("\r\n\r\n")) {
			int next = in.read();
			if (next < 0) {
				return head.toString();
			}
			head.append((char) next);
		}
		String text = head.toString().toLowerCase();
		int at = text.indexOf("content-length: ");
		int length = (at < 0) ? 0 : Integer.parseInt(text.substring(at + 16, text.indexOf("\r\n", at)));
		return head + new String(in.readNBytes(length), StandardCharsets.UTF_8);
	}

	boolean isClosedByGateway() throws IOException {
		return this.socket.getInputStream().read() < 0;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
