package org.monsoonrelay.adapters.platform;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

import javax.net.SocketFactory;

/**
 * Creates counting sockets. Stateless and thread-safe.
 */
final class CountingSocketFactory extends SocketFactory {

	@Override
	public Socket createSocket() {
		return new CountingSocket();
	}

	@Override
	public Socket createSocket(String host, int port) throws IOException {
		return connected(new InetSocketAddress(host, port), null);
	}

	@Override
	public Socket createSocket(String host, int port, InetAddress localHost, int localPort) throws IOException {
		return connected(new InetSocketAddress(host, port), new InetSocketAddress(localHost, localPort));
	}

	@Override
	public Socket createSocket(InetAddress host, int port) throws IOException {
		return connected(new InetSocketAddress(host, port), null);
	}

	@Override
	public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort) throws IOException {
		return connected(new InetSocketAddress(host, port), new InetSocketAddress(localHost, localPort));
	}

	private static Socket connected(InetSocketAddress remote, InetSocketAddress local) throws IOException {
		Socket socket = new CountingSocket();
		socket.bind(local);
		socket.connect(remote);
		return socket;
	}

}
