package org.monsoonrelay.systemtests.host;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Watches whether tasks that last are at work. A while after their job was accepted, or
 * after their last run, they have to be, unless something was disturbed shortly before.
 * Confined to one thread.
 */
final class LastingWatch implements Runnable {

	private static final long INTERVAL_MILLIS = 50;

	/** Tasks may be away this long after their last run. */
	private static final long AWAY_MILLIS = 6000;

	/** How long they must not be away in a calm time. */
	private static final long IDLE_MILLIS = 3000;

	/** The calm time before that. */
	private static final long CALM_MILLIS = 4000;

	private final Supplier<Set<String>> jobs;

	private final Predicate<String> isAtWork;

	private final LongPredicate isCalmSince;

	private final Consumer<String> faults;

	private volatile boolean stopping;

	private final Map<String, Long> seenNanos = new HashMap<>();

	private long awayMillis;

	LastingWatch(Supplier<Set<String>> jobs, Predicate<String> isAtWork, LongPredicate isCalmSince,
			Consumer<String> faults) {
		this.jobs = jobs;
		this.isAtWork = isAtWork;
		this.isCalmSince = isCalmSince;
		this.faults = faults;
	}

	void stop() {
		this.stopping = true;
	}

	@Override
	public void run() {
		while (!this.stopping) {
			this.jobs.get().forEach(this::watch);
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS));
		}
	}

	private void watch(String job) {
		long now = System.nanoTime();
		long seen = this.seenNanos.computeIfAbsent(job, (unseen) -> now);
		if (this.isAtWork.test(job)) {
			this.seenNanos.put(job, now);
		}
		long millis = TimeUnit.NANOSECONDS.toMillis(now - seen);
		this.awayMillis = Math.max(this.awayMillis, millis);
		if (millis > AWAY_MILLIS + IDLE_MILLIS
				&& this.isCalmSince.test(now - TimeUnit.MILLISECONDS.toNanos(IDLE_MILLIS + CALM_MILLIS))) {
			this.faults.accept("%d tasks of job %s that last have not been at work for %d ms"
				.formatted(System.currentTimeMillis(), job, millis));
			this.stopping = true;
		}
	}

	/**
	 * The longest time without them.
	 * @return the time, milliseconds
	 */
	long awayMillis() {
		return this.awayMillis;
	}

}
