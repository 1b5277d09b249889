package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * A client that counts jobs on the routes of a changed configuration at one host, over
 * and over, and hands in jobs on the dropped one. A request that is sent after the change
 * is due must neither find the dropped route nor miss the added one; a host that refuses
 * to tell keeps to this. Thread-safe.
 */
final class RouteProbe implements Runnable {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final long INTERVAL_MILLIS = 10;

	private final SoakHost host;

	private final Consumer<String> faults;

	private final Consumer<String> log;

	private volatile Change change = Change.NONE;

	private int submissions;

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
		boolean isDue = sentNanos - expected.dueNanos() > 0;
		int added = count(expected.version());
		int dropped = count(expected.version() - 1);
		int submitted = isDue ? submit(expected.version() - 1) : 0;
		if (added == OK && this.servedVersion < expected.version()) {
			this.servedVersion = expected.version();
			this.log.accept("%s version %d in force after %d ms, due in %d ms".formatted(this.host.name(),
					expected.version(), TimeUnit.NANOSECONDS.toMillis(sentNanos - expected.ackNanos()),
					TimeUnit.NANOSECONDS.toMillis(expected.dueNanos() - sentNanos)));
		}
		if (isDue && expected == this.change && (added == NOT_FOUND || dropped == OK || submitted == OK)) {
			this.faults.accept("%s: added route %d, dropped route %d and %d, %d ms after version %d was confirmed"
				.formatted(this.host.name(), added, dropped, submitted,
						TimeUnit.NANOSECONDS.toMillis(sentNanos - expected.ackNanos()), expected.version()));
		}
	}

	private int count(int version) {
		return send("GET", PlatformFake.addedPath(version), "");
	}

	private int submit(int version) {
		String job = "%08x%08x".formatted(this.host.name().hashCode(), ++this.submissions);
		return send("POST", PlatformFake.addedPath(version) + job, SoakClient.JOB);
	}

	private int send(String method, String path, String body) {
		try (HostConnection connection = new HostConnection(this.host.ip())) {
			return connection.send(method, path, body).code();
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
