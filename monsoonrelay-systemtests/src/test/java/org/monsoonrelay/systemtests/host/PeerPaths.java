package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The paths between hosts. Each host listens at its own address; the others are told of
 * one in front of it, so that all they send passes here, one connection a pair as
 * without. A path goes from one host to another and may lose, forget or delay what is
 * sent; the way back is another path. Lost messages are sent again after doubled waits,
 * as TCP does; a connection that is opened during a loss is held until its end.
 * Invariant: messages of a connection are delivered whole, and in order or not at all.
 * Thread-safe.
 */
final class PeerPaths implements AutoCloseable {

	private static final int BACKLOG = 64;

	/** Wait before a lost message is sent again the first time, doubled each time. */
	private static final long FIRST_RETRANSMISSION_MILLIS = 200;

	private static final String LISTENING = ":" + SoakHost.FIRST_INTERNAL_PORT;

	private static final int FRONT_PORT = SoakHost.FIRST_INTERNAL_PORT - 1;

	private static final String IN_FRONT = ":" + FRONT_PORT;

	private final Map<String, String> ips = new ConcurrentHashMap<>();

	private final List<ServerSocket> servers = new ArrayList<>();

	private final Set<PeerLink> links = new HashSet<>();

	private final Set<Path> losing = new HashSet<>();

	private final Map<Path, Long> delays = new HashMap<>();

	private final ExecutorService threads = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "peer-path");
		thread.setDaemon(true);
		return thread;
	});

	private boolean closed;

	/**
	 * Listen in front of a host.
	 * @param host the host's name
	 * @param ip its address
	 */
	synchronized void add(String host, String ip) {
		this.ips.put(host, ip);
		try {
			ServerSocket server = new ServerSocket(FRONT_PORT, BACKLOG, InetAddress.getByName(ip));
			this.servers.add(server);
			this.threads.execute(() -> accept(server, host));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * A text as a host sees it, with the addresses of the others in front of them.
	 * @param host the host's name
	 * @param text the text, written by any host
	 * @return the text, of the same length
	 */
	String seenBy(String host, String text) {
		String ip = this.ips.get(host);
		return text.replace(LISTENING, IN_FRONT).replace(ip + IN_FRONT, ip + LISTENING);
	}

	/**
	 * Let what is open forget a direction for good, as a device on the way does; new
	 * connections work.
	 * @param from names of the hosts that send
	 * @param to names of the hosts that receive
	 */
	synchronized void forget(Set<String> from, Set<String> to) {
		this.links.forEach((link) -> link.forget(from, to));
		notifyAll();
	}

	/**
	 * Lose what is sent from now on.
	 * @param from names of the hosts that send
	 * @param to names of the hosts that receive
	 */
	synchronized void lose(Set<String> from, Set<String> to) {
		this.losing.addAll(paths(from, to));
	}

	/**
	 * Delay what is sent from now on.
	 * @param from names of the hosts that send
	 * @param to names of the hosts that receive
	 * @param millis the delay, 0 for none
	 */
	synchronized void delay(Set<String> from, Set<String> to, long millis) {
		paths(from, to).forEach((path) -> this.delays.put(path, millis));
	}

	/**
	 * Lose nothing more.
	 * @param from names of the hosts that send
	 * @param to names of the hosts that receive
	 */
	synchronized void heal(Set<String> from, Set<String> to) {
		this.losing.removeAll(paths(from, to));
		notifyAll();
	}

	private static Set<Path> paths(Set<String> from, Set<String> to) {
		Set<Path> paths = new HashSet<>();
		from.forEach((sender) -> to.forEach((receiver) -> paths.add(new Path(sender, receiver))));
		return paths;
	}

	private void accept(ServerSocket server, String target) {
		while (!server.isClosed()) {
			try {
				Socket near = server.accept();
				near.setTcpNoDelay(true);
				this.threads.execute(() -> open(near, target));
			}
			catch (IOException ex) {
				// closed, or the caller is gone
			}
		}
	}

	private void open(Socket near, String target) {
		try {
			PeerLink.Frames fromCaller = new PeerLink.Frames(near);
			this.threads.execute(fromCaller);
			PeerLink.Frame hello = fromCaller.first();
			String caller = callerOf(hello);
			if (caller.isEmpty() || !awaitBothWays(caller, target) || fromCaller.hasEnded()) {
				near.close();
				return;
			}
			Socket far = new Socket();
			far.connect(new InetSocketAddress(this.ips.get(target), SoakHost.FIRST_INTERNAL_PORT));
			far.setTcpNoDelay(true);
			PeerLink link = new PeerLink(caller, target, near, far);
			synchronized (this) {
				this.links.add(link);
			}
			PeerLink.Frames fromTarget = new PeerLink.Frames(far);
			this.threads.execute(fromTarget);
			this.threads.execute(() -> pump(link, fromTarget, new Path(target, caller), near));
			pump(link, fromCaller, new Path(caller, target), far);
		}
		catch (IOException ex) {
			PeerLink.closeQuietly(near);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// The first message of a connection tells its caller's address.
	private String callerOf(PeerLink.Frame hello) {
		return this.ips.entrySet()
			.stream()
			.filter((entry) -> hello.text().contains(entry.getValue() + LISTENING))
			.map(Map.Entry::getKey)
			.findFirst()
			.orElse("");
	}

	private synchronized boolean awaitBothWays(String caller, String target) throws InterruptedException {
		while (!this.closed
				&& (this.losing.contains(new Path(caller, target)) || this.losing.contains(new Path(target, caller)))) {
			wait();
		}
		return !this.closed;
	}

	private void pump(PeerLink link, PeerLink.Frames frames, Path path, Socket to) {
		try {
			for (PeerLink.Frame frame = frames.take(); !frame.isEnd(); frame = frames.take()) {
				if (awaitDelivery(link, path, frame)) {
					PeerLink.write(to, seenBy(path.to(), frame.text()));
				}
			}
			if (awaitDelivery(link, path, PeerLink.Frame.end())) {
				to.close();
			}
		}
		catch (IOException ex) {
			link.close();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			synchronized (this) {
				if (link.endOfDirection()) {
					this.links.remove(link);
				}
			}
		}
	}

	// Returns whether a message arrives, once it does.
	private synchronized boolean awaitDelivery(PeerLink link, Path path, PeerLink.Frame frame)
			throws InterruptedException {
		long waitNanos = TimeUnit.MILLISECONDS.toNanos(FIRST_RETRANSMISSION_MILLIS);
		long nextNanos = frame.sentNanos() + TimeUnit.MILLISECONDS.toNanos(this.delays.getOrDefault(path, 0L));
		while (!this.closed && !link.isForgotten(path.from())) {
			long leftNanos = nextNanos - System.nanoTime();
			if (leftNanos > 0) {
				TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
			}
			else if (this.losing.contains(path)) {
				nextNanos += waitNanos;
				waitNanos *= 2;
			}
			else {
				return true;
			}
		}
		return false;
	}

	@Override
	public synchronized void close() {
		this.closed = true;
		notifyAll();
		this.servers.forEach(PeerLink::closeQuietly);
		this.links.forEach(PeerLink::close);
		this.threads.shutdownNow();
	}

	/** A path from one host to another. */
	private record Path(String from, String to) {

	}

}
