package org.monsoonrelay.systemtests.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;

/**
 * Seeded cuts that outlast every lease, around the host that owns the pool: it, often
 * with the other hosts of its failure domain, loses the table, the workers of the other
 * domain, or both, while the hosts of the other domain lose the workers of its own.
 * Workers drain before; hosts are paused, killed and stopped, and lose single paths,
 * meanwhile. Invariant: each cut and each pause ends. Confined to one thread.
 */
final class CutSeries {

	private static final List<String> SIGNALS = List.of("TERM", "KILL", "STOP", "STOP");

	private static final int FIRST_GAP_MILLIS = 3000;

	/** Tasks that last count as stable by then. */
	private static final int LONG_FIRST_GAP_MILLIS = 13_000;

	private static final int LONGEST_GAP_MILLIS = 4000;

	private static final int SHORTEST_CUT_MILLIS = 8000;

	private static final int LONGEST_CUT_MILLIS = 14_000;

	private static final int LONGEST_PAUSE_MILLIS = 5000;

	private static final int LONGEST_DRAIN_MILLIS = 1200;

	private final Random random;

	private final List<SoakHost> hosts;

	private final PlatformFake platform;

	private final ScheduledExecutorService timer;

	private final List<String> log = new ArrayList<>();

	CutSeries(long seed, List<SoakHost> hosts, PlatformFake platform, ScheduledExecutorService timer) {
		this.random = new Random(seed);
		this.hosts = hosts;
		this.platform = platform;
		this.timer = timer;
	}

	/**
	 * Cut and mend until a time is over and the last cut has ended.
	 * @param seconds the time
	 * @return what was done, a line for each
	 */
	List<String> play(int seconds) {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		boolean isLongGap = this.random.nextInt(4) == 0;
		pause(isLongGap ? LONG_FIRST_GAP_MILLIS : FIRST_GAP_MILLIS + this.random.nextInt(LONGEST_GAP_MILLIS));
		do {
			drainSomeWorkers();
			cutAroundOwner();
			pause(this.random.nextInt(LONGEST_GAP_MILLIS));
		}
		while (System.nanoTime() - end < 0);
		return this.log;
	}

	private void drainSomeWorkers() {
		for (int domain = 0; domain < 2; domain++) {
			String worker = anyOf(this.platform.workersIn(domain));
			if (this.random.nextInt(3) > 0) {
				note("drain " + worker);
				this.platform.drain(worker);
			}
		}
		pause(this.random.nextInt(LONGEST_DRAIN_MILLIS));
	}

	private void cutAroundOwner() {
		SoakHost owner = this.hosts.stream().max(Comparator.comparingLong(SoakHost::lastEpoch)).orElseThrow();
		int domain = owner.failureDomain();
		Set<String> lost = (this.random.nextInt(3) > 0) ? hostsIn(domain) : Set.of(owner.name());
		int kind = this.random.nextInt(8);
		Set<String> targets = this.platform.workersIn(1 - domain);
		if (kind == 0) {
			targets.clear();
		}
		if (kind != 1) {
			targets.add(PathCuts.TABLE);
		}
		boolean isStormy = this.random.nextInt(3) == 0;
		int millis = SHORTEST_CUT_MILLIS + this.random.nextInt(LONGEST_CUT_MILLIS - SHORTEST_CUT_MILLIS);
		note("owner " + owner.name() + ": cut of " + lost + " from " + targets + " for " + millis + " ms");
		PathCuts.Cut inner = this.platform.cuts().begin(lost, targets);
		PathCuts.Cut outer = this.platform.cuts().begin(hostsIn(1 - domain), this.platform.workersIn(domain));
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		while (isStormy && System.nanoTime() - end < 0) {
			disturb(this.hosts.get(this.random.nextInt(this.hosts.size())));
			pause(1000 + this.random.nextInt(LONGEST_PAUSE_MILLIS));
		}
		pause(TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime()));
		this.platform.cuts().end(inner);
		this.platform.cuts().end(outer);
		note("cuts ended");
	}

	private void disturb(SoakHost host) {
		int millis = this.random.nextInt(LONGEST_PAUSE_MILLIS);
		if (this.random.nextInt(3) == 0) {
			Set<String> targets = this.platform.workersIn(this.random.nextInt(2));
			targets.add(PathCuts.TABLE);
			note("cut of " + host.name() + " from " + targets + " for " + millis + " ms");
			PathCuts.Cut cut = this.platform.cuts().begin(Set.of(host.name()), targets);
			this.timer.schedule(() -> this.platform.cuts().end(cut), millis, TimeUnit.MILLISECONDS);
			return;
		}
		String signal = SIGNALS.get(this.random.nextInt(SIGNALS.size()));
		note(signal + " to " + host.name() + ", a pause of " + millis + " ms");
		host.signal(signal);
		if (signal.equals("STOP")) {
			this.timer.schedule(() -> host.signal("CONT"), millis, TimeUnit.MILLISECONDS);
		}
	}

	private Set<String> hostsIn(int domain) {
		return this.hosts.stream()
			.filter((host) -> host.failureDomain() == domain)
			.map(SoakHost::name)
			.collect(Collectors.toSet());
	}

	private String anyOf(Collection<String> names) {
		return names.stream().sorted().toList().get(this.random.nextInt(names.size()));
	}

	private void note(String what) {
		this.log.add(System.currentTimeMillis() + " " + what);
	}

	private static void pause(long millis) {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		for (long left = end - System.nanoTime(); left > 0; left = end - System.nanoTime()) {
			LockSupport.parkNanos(left);
		}
	}

}
