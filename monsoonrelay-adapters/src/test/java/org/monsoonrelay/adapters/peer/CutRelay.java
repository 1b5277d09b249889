package org.monsoonrelay.adapters.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.monsoonrelay.model.host.HostAddress;

/**
 * Relays connections to a peer and can make the open ones silent for good, while new ones
 * work. Thread-safe.
 */
final class CutRelay implements AutoCloseable {

	private final ServerSocket server;

	private final HostAddress target;

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final List<Socket> open = new CopyOnWriteArrayList<>();

	private final List<Socket> silent = new CopyOnWriteArrayList<>();

	CutRelay(HostAddress target) {
		try {
			this.target = target;
			this.server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.threads.execute(this::accept);
	}

	HostAddress address() {
		return new HostAddress("127.0.0.1", this.server.getLocalPort());
	}

	void silenceOpenConnections() {
		this.silent.addAll(this.open);
	}

	private void accept() {
		try {
			while (true) {
				Socket near = this.server.accept();
				Socket far = new Socket(this.target.host(), this.target.port());
				this.open.add(near);
				this.threads.execute(() -> copy(near, near, far));
				this.threads.execute(() -> copy(near, far, near));
			}
		}
		catch (IOException ex) {
			// the relay is closed
		}
	}

	private void copy(Socket key, Socket from, Socket to) {
		try (to) {
			InputStream input = from.getInputStream();
			OutputStream output = to.getOutputStream();
			byte[] buffer = new byte[4096];
			int count = input.read(buffer);
			while (count >= 0) {
				if (!this.silent.contains(key)) {
					output.write(buffer, 0, count);
				}
				count = input.read(buffer);
			}
		}
		catch (IOException ex) {
			// one side has closed
		}
	}

	@Override
	public void close() {
		try {
			this.server.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.threads.shutdownNow();
	}

}
