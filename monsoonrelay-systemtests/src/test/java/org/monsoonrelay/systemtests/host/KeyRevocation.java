package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * A key that is taken away while one host is cut off from the table, and a caller that
 * goes on to send it to all hosts. Invariant: a request that was sent later than the
 * bound after the removal and answered with success is told as a fault. Confined to one
 * thread.
 */
final class KeyRevocation implements Runnable {

	/** The key that is taken away. */
	static final String REVOKED = "soak-revoked";

	/** The bound in the settings of hosts, which is the default. */
	private static final long BOUND_MILLIS = 5000;

	/**
	 * Time within which a host has to serve the key before it is taken away. Longer than
	 * the signals last, which may end each process before it serves.
	 */
	private static final long MAX_START_MILLIS = 30_000;

	private static final long CUT_MILLIS = 8000;

	private static final long AFTER_CUT_MILLIS = 1000;

	private static final long PAUSE_MILLIS = 40;

	private static final int SUCCESS = 200;

	private final PlatformFake platform;

	private final List<SoakHost> hosts;

	private final Random random;

	private final Consumer<String> faults;

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger refusedLate = new AtomicInteger();

	KeyRevocation(long seed, PlatformFake platform, List<SoakHost> hosts, Consumer<String> faults) {
		this.random = new Random(seed);
		this.platform = platform;
		this.hosts = hosts;
		this.faults = faults;
	}

	@Override
	public void run() {
		long startEndNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_START_MILLIS);
		while (this.served.get() == 0 && System.nanoTime() - startEndNanos < 0) {
			askAll(Long.MAX_VALUE);
		}
		String host = this.hosts.get(this.random.nextInt(this.hosts.size())).name();
		PathCuts.Cut cut = this.platform.cuts().begin(Set.of(host), Set.of(PathCuts.TABLE));
		this.platform.configureKeys(2, List.of(HostConnection.KEY));
		long boundNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BOUND_MILLIS);
		askUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CUT_MILLIS), boundNanos);
		this.platform.cuts().end(cut);
		askUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AFTER_CUT_MILLIS), boundNanos);
	}

	/** Requests with the key that were served, rightly while it was valid. */
	int served() {
		return this.served.get();
	}

	/** Requests with the key that were refused after the bound. */
	int refusedLate() {
		return this.refusedLate.get();
	}

	private void askUntil(long endNanos, long boundNanos) {
		while (System.nanoTime() - endNanos < 0) {
			askAll(boundNanos);
		}
	}

	private void askAll(long boundNanos) {
		this.hosts.forEach((host) -> ask(host, boundNanos));
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PAUSE_MILLIS));
	}

	private void ask(SoakHost host, long boundNanos) {
		try (HostConnection connection = new HostConnection(host.ip())) {
			String job = "%016x".formatted(this.random.nextLong());
			boolean isLate = boundNanos != Long.MAX_VALUE && System.nanoTime() - boundNanos > 0;
			int code = connection.send("POST", "/" + PlatformFake.QUEUE + "/" + job, SoakClient.JOB, REVOKED).code();
			if (code != SUCCESS) {
				this.refusedLate.addAndGet(isLate ? 1 : 0);
			}
			else if (isLate) {
				this.faults.accept("job " + job + " was accepted by " + host.name() + " with a revoked key");
			}
			else {
				this.served.incrementAndGet();
			}
		}
		catch (IOException ex) {
			// The host is stopped or paused.
		}
	}

}
