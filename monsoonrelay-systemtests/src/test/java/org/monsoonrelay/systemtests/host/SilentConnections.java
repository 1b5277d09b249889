package org.monsoonrelay.systemtests.host;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;

/**
 * Connections that have gone silent for good without being closed: requests still arrive
 * on them, no response does. New connections work. Invariant: a request that arrives on a
 * silent connection is not carried out. Thread-safe.
 */
final class SilentConnections {

	private final Set<InetSocketAddress> used = new HashSet<>();

	private final Set<InetSocketAddress> silent = new HashSet<>();

	private boolean closed;

	/**
	 * Silence all connections on which a request has arrived so far.
	 */
	synchronized void silenceAll() {
		this.silent.addAll(this.used);
		this.used.clear();
	}

	/**
	 * Record a request.
	 * @param client the client's end of the connection
	 * @return whether the connection is silent
	 */
	synchronized boolean requestArrived(InetSocketAddress client) {
		if (!this.silent.contains(client)) {
			this.used.add(client);
			return false;
		}
		return true;
	}

	synchronized boolean isSilent(InetSocketAddress client) {
		return this.silent.contains(client);
	}

	/**
	 * Keep an exchange open without a response until the platform is closed.
	 * @throws InterruptedException if the thread is interrupted meanwhile
	 */
	synchronized void awaitClose() throws InterruptedException {
		while (!this.closed) {
			wait();
		}
	}

	synchronized void close() {
		this.closed = true;
		notifyAll();
	}

}
