package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * A client that counts jobs on the routes of a changed configuration at one host, over
 * and over. A request that is sent after the change is due must neither find the dropped
 * route nor miss the added one; a host that refuses to tell keeps to this. Thread-safe.
 */
final class RouteProbe implements Runnable {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final long INTERVAL_MILLIS = 10;

	private final SoakHost host;

	private final Consumer<String> faults;

	private final Consumer<String> log;

	private volatile Change change = Change.NONE;

	private volatile boolean stopping;

	private volatile int servedVersion = 1;

	RouteProbe(SoakHost host, Consumer<String> faults, Consumer<String> log) {
		this.host = host;
		this.faults = faults;
		this.log = log;
	}

	/**
	 * Expect a change.
	 * @param next the change, which the platform has confirmed
	 */
	void expect(Change next) {
		this.change = next;
	}

	/**
	 * Expect nothing until the next change is confirmed.
	 */
	void expectNothing() {
		this.change = Change.NONE;
	}

	/**
	 * The latest version whose route the host has served.
	 * @return the version, 1 if none
	 */
	int servedVersion() {
		return this.servedVersion;
	}

	void stop() {
		this.stopping = true;
	}

	@Override
	public void run() {
		while (!this.stopping) {
			Change expected = this.change;
			if (expected != Change.NONE) {
				probe(expected);
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS));
		}
	}

	private void probe(Change expected) {
		long sentNanos = System.nanoTime();
		int added = count(expected.version());
		int dropped = count(expected.version() - 1);
		if (added == OK && this.servedVersion < expected.version()) {
			this.servedVersion = expected.version();
			this.log.accept("%s version %d in force after %d ms, due in %d ms".formatted(this.host.name(),
					expected.version(), TimeUnit.NANOSECONDS.toMillis(sentNanos - expected.ackNanos()),
					TimeUnit.NANOSECONDS.toMillis(expected.dueNanos() - sentNanos)));
		}
		boolean isDue = sentNanos - expected.dueNanos() > 0;
		if (isDue && expected == this.change && (added == NOT_FOUND || dropped == OK)) {
			this.faults.accept("%s: added route %d, dropped route %d, %d ms after version %d was confirmed".formatted(
					this.host.name(), added, dropped, TimeUnit.NANOSECONDS.toMillis(sentNanos - expected.ackNanos()),
					expected.version()));
		}
	}

	private int count(int version) {
		try (HostConnection connection = new HostConnection(this.host.ip())) {
			return connection.send("GET", PlatformFake.addedPath(version), "").code();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	/**
	 * A change of the configuration.
	 *
	 * @param version the version
	 * @param ackNanos when the platform had confirmed it
	 * @param dueNanos from when on it has to be in force
	 */
	record Change(int version, long ackNanos, long dueNanos) {

		private static final Change NONE = new Change(1, 0, 0);

	}

}
