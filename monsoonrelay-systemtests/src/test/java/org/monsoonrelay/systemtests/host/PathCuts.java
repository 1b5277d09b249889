package org.monsoonrelay.systemtests.host;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Cuts of the paths from hosts to workers and to the table. Invariants: a request that
 * arrives during a cut of its path is never carried out; one that was under way when the
 * cut began is not answered. Neither gets a response before the cut ends. Thread-safe.
 */
final class PathCuts {

	/** The table as the end of a path. */
	static final String TABLE = "table";

	private final List<Cut> cuts = new ArrayList<>();

	private boolean closed;

	/**
	 * Begin a cut.
	 * @param hosts names of the hosts that lose their paths
	 * @param targets ids of workers, or {@link #TABLE}, that they do not reach any more
	 * @return the cut
	 */
	synchronized Cut begin(Set<String> hosts, Set<String> targets) {
		Cut cut = new Cut(Set.copyOf(hosts), Set.copyOf(targets));
		this.cuts.add(cut);
		return cut;
	}

	synchronized void end(Cut cut) {
		cut.isOver = true;
		cut.endNanos = System.nanoTime();
		notifyAll();
	}

	/**
	 * Whether a path was cut at any time since a moment.
	 * @param host the host
	 * @param target the worker or the table
	 * @param nanos the moment
	 * @return {@code true} if so
	 */
	synchronized boolean wasCutSince(String host, String target, long nanos) {
		return this.cuts.stream().anyMatch((cut) -> cut.isOn(host, target) && (!cut.isOver || cut.endNanos > nanos));
	}

	/**
	 * Wait until no cut is on a path.
	 * @param host the host
	 * @param target the worker or the table
	 * @throws InterruptedException if the platform is closed meanwhile
	 */
	synchronized void awaitEnd(String host, String target) throws InterruptedException {
		while (!this.closed && this.cuts.stream().anyMatch((cut) -> cut.isOn(host, target) && !cut.isOver)) {
			wait();
		}
	}

	synchronized void close() {
		this.closed = true;
		notifyAll();
	}

	/** A cut of all paths from some hosts to some targets. */
	static final class Cut {

		private final Set<String> hosts;

		private final Set<String> targets;

		private boolean isOver;

		private long endNanos;

		private Cut(Set<String> hosts, Set<String> targets) {
			this.hosts = hosts;
			this.targets = targets;
		}

		private boolean isOn(String host, String target) {
			return this.hosts.contains(host) && this.targets.contains(target);
		}

	}

}
