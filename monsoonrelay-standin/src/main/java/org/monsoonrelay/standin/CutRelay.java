package org.monsoonrelay.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.monsoonrelay.model.host.HostAddress;

/**
 * Forwards TCP connections to one address until it is cut, as a network between failure
 * domains does. While it is cut, no byte passes and no connection is closed, so that both
 * ends see silence. Thread-safe.
 */
public final class CutRelay implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private final ServerSocket server;

	private final HostAddress address;

	private final HostAddress target;

	private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "relay");
		thread.setDaemon(true);
		return thread;
	});

	private volatile boolean cut;

	/**
	 * Listen and forward.
	 * @param address where to listen
	 * @param target where to forward to
	 */
	public CutRelay(HostAddress address, HostAddress target) {
		this.address = address;
		this.target = target;
		try {
			this.server = new ServerSocket(address.port(), 0, InetAddress.getByName(address.host()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.threads.execute(this::accept);
	}

	/**
	 * Where it listens.
	 * @return the address
	 */
	public HostAddress address() {
		return this.address;
	}

	/**
	 * Let no byte pass from now on.
	 */
	public void cut() {
		this.cut = true;
	}

	/**
	 * Let new connections pass. Those that saw the cut stay silent for good.
	 */
	public void heal() {
		this.sockets.clear();
		this.cut = false;
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket near = this.server.accept();
				Socket far = new Socket(this.target.host(), this.target.port());
				this.sockets.add(near);
				this.sockets.add(far);
				this.threads.execute(() -> pump(near, far));
				this.threads.execute(() -> pump(far, near));
			}
			catch (IOException ex) {
				// the relay was closed, or the target does not listen
			}
		}
	}

	private void pump(Socket from, Socket to) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			int count = from.getInputStream().read(buffer);
			while (count >= 0) {
				if (!this.cut && this.sockets.contains(from)) {
					to.getOutputStream().write(buffer, 0, count);
				}
				count = from.getInputStream().read(buffer);
			}
			if (!this.cut && this.sockets.contains(from)) {
				to.close();
			}
		}
		catch (IOException ex) {
			closeQuietly(to);
		}
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// it is closed already
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
		this.sockets.forEach(CutRelay::closeQuietly);
		this.threads.shutdownNow();
	}

}
