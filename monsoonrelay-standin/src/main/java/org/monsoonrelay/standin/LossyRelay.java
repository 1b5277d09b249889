package org.monsoonrelay.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.model.host.HostAddress;

/**
 * Forwards TCP connections to one address over a path that may lose packets, and behaves
 * as TCP does: lost bytes are sent again after doubled waits, so that a connection may
 * stay silent after the end of a loss, and a connection cannot be opened during one.
 * Invariant: bytes of a connection are delivered in order or not at all. Thread-safe.
 */
public final class LossyRelay implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int BACKLOG = 64;

	/** Enough to fill the queue of new connections, so that the kernel drops others. */
	private static final int FILLERS = 2 * BACKLOG;

	private static final long SELECT_MILLIS = 10;

	/** Wait before lost bytes are sent again the first time, doubled each time. */
	private static final long FIRST_RETRANSMISSION_MILLIS = 200;

	private final ServerSocketChannel server;

	private final Selector selector;

	private final HostAddress address;

	private final HostAddress target;

	private final Set<Integer> fillerPorts = new HashSet<>();

	private final List<SocketChannel> fillers = new ArrayList<>();

	private final Set<Link> links = new HashSet<>();

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "relay");
		thread.setDaemon(true);
		return thread;
	});

	private Loss loss = Loss.NONE;

	private boolean closed;

	/**
	 * Listen and forward.
	 * @param address where to listen
	 * @param target where to forward to
	 */
	public LossyRelay(HostAddress address, HostAddress target) {
		this.address = address;
		this.target = target;
		try {
			this.selector = Selector.open();
			this.server = ServerSocketChannel.open();
			this.server.bind(new InetSocketAddress(address.host(), address.port()), BACKLOG);
			this.server.configureBlocking(false);
			this.server.register(this.selector, SelectionKey.OP_ACCEPT);
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
	 * Lose packets from now on.
	 * @param next which ones
	 */
	public synchronized void lose(Loss next) {
		this.loss = next;
		try {
			while (this.fillers.size() < FILLERS) {
				SocketChannel filler = SocketChannel.open();
				filler.configureBlocking(false);
				filler.bind(new InetSocketAddress(this.address.host(), 0));
				this.fillerPorts.add(filler.socket().getLocalPort());
				this.fillers.add(filler);
				filler.connect(new InetSocketAddress(this.address.host(), this.address.port()));
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Lose no more packets.
	 * @param recovery what becomes of the connections that are open
	 */
	public synchronized void heal(Recovery recovery) {
		this.loss = Loss.NONE;
		this.fillers.forEach(LossyRelay::closeQuietly);
		this.fillers.clear();
		if (recovery == Recovery.FORGET) {
			this.links.forEach((link) -> link.forgotten = true);
		}
		notifyAll();
		this.selector.wakeup();
	}

	private void accept() {
		while (this.server.isOpen()) {
			try {
				awaitNoLoss();
				this.selector.select(SELECT_MILLIS);
				SocketChannel near = acceptUnlessLost();
				if (near != null) {
					forward(near.socket());
				}
			}
			catch (IOException ex) {
				// the relay was closed, or the target does not listen
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return;
			}
		}
	}

	private synchronized void awaitNoLoss() throws InterruptedException {
		while (this.loss != Loss.NONE && !this.closed) {
			wait();
		}
	}

	private synchronized SocketChannel acceptUnlessLost() throws IOException {
		if (this.loss != Loss.NONE) {
			return null;
		}
		SocketChannel near = this.server.accept();
		if (near != null && this.fillerPorts.remove(near.socket().getPort())) {
			near.close();
			return null;
		}
		return near;
	}

	private void forward(Socket near) throws IOException {
		Socket far = new Socket(this.target.host(), this.target.port());
		near.setTcpNoDelay(true);
		far.setTcpNoDelay(true);
		Link link = new Link(near, far);
		synchronized (this) {
			this.links.add(link);
		}
		this.threads.execute(() -> pump(link, near, far, Loss.REQUESTS));
		this.threads.execute(() -> pump(link, far, near, Loss.RESPONSES));
	}

	private void pump(Link link, Socket from, Socket to, Loss direction) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			int count = from.getInputStream().read(buffer);
			while (count >= 0) {
				if (awaitDelivery(link, direction)) {
					to.getOutputStream().write(buffer, 0, count);
				}
				count = from.getInputStream().read(buffer);
			}
			if (awaitDelivery(link, direction)) {
				to.close();
			}
		}
		catch (IOException ex) {
			closeQuietly(to);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			synchronized (this) {
				this.links.remove(link);
			}
		}
	}

	// Returns whether bytes that are sent now arrive, once they do.
	private synchronized boolean awaitDelivery(Link link, Loss direction) throws InterruptedException {
		long sentNanos = System.nanoTime();
		long waitNanos = TimeUnit.MILLISECONDS.toNanos(FIRST_RETRANSMISSION_MILLIS);
		long nextNanos = sentNanos;
		while (!link.forgotten && !this.closed) {
			long leftNanos = nextNanos - System.nanoTime();
			if (leftNanos > 0) {
				TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
			}
			else if (this.loss == Loss.BOTH || this.loss == direction) {
				nextNanos += waitNanos;
				waitNanos *= 2;
			}
			else {
				return true;
			}
		}
		return false;
	}

	private static void closeQuietly(AutoCloseable socket) {
		try {
			socket.close();
		}
		catch (Exception ex) {
			// it is closed already
		}
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		notifyAll();
		closeQuietly(this.server);
		closeQuietly(this.selector);
		this.fillers.forEach(LossyRelay::closeQuietly);
		this.links.forEach((link) -> {
			closeQuietly(link.near);
			closeQuietly(link.far);
		});
		this.threads.shutdownNow();
	}

	/** Packets that are lost. Without both directions no connection can be opened. */
	public enum Loss {

		/** None. */
		NONE,

		/** Those to the target. */
		REQUESTS,

		/** Those from the target. */
		RESPONSES,

		/** All. */
		BOTH

	}

	/** What becomes of open connections once packets pass again. */
	public enum Recovery {

		/** They go on when their lost bytes are sent again. */
		RESUME,

		/** They are silent for good, as behind a device that has forgotten them. */
		FORGET

	}

	private static final class Link {

		private final Socket near;

		private final Socket far;

		private boolean forgotten;

		Link(Socket near, Socket far) {
			this.near = near;
			this.far = far;
		}

	}

}
