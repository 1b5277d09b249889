package org.monsoonrelay.systemtests.host;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.monsoonrelay.standin.LossyRelay;

/**
 * Seeded troubles of the paths between hosts, and of the owner and the table beside them.
 * Invariants: each of them that goes on ends; what it disturbs is noted before it begins
 * and after its end. Confined to one thread, but for the ends.
 */
final class PeerTroubles {

	private static final int SHORTEST_MILLIS = 1000;

	private static final int LONGEST_MILLIS = 6500;

	private static final int SHORTEST_DELAY_MILLIS = 300;

	private static final int LONGEST_DELAY_MILLIS = 1500;

	private static final long REFUSAL_MILLIS = 900;

	private static final int CHASED_OWNERS = 3;

	private static final int SHORTEST_GAP_MILLIS = 1200;

	private static final int LONGEST_GAP_MILLIS = 3200;

	private final Random random;

	private final SoakSite site;

	private final List<SoakHost> hosts;

	private final PlatformFake platform;

	private final PeerPaths paths;

	private final Disturbances disturbances;

	private final ScheduledExecutorService timer;

	private final Consumer<String> log;

	PeerTroubles(Random random, SoakSite site, Disturbances disturbances, ScheduledExecutorService timer,
			Consumer<String> log) {
		this.random = random;
		this.site = site;
		this.hosts = site.hosts();
		this.platform = site.platform();
		this.paths = site.paths();
		this.disturbances = disturbances;
		this.timer = timer;
		this.log = log;
	}

	/**
	 * Cause one trouble of the paths between hosts.
	 */
	void disturbPaths() {
		SoakHost owner = owner();
		Set<String> one = Set.of(this.random.nextBoolean() ? owner.name() : other(owner).name());
		Set<String> others = without(one);
		switch (this.random.nextInt(6)) {
			case 0 -> forget(one, others, true);
			case 1 -> forget(one, others, false);
			case 2 -> forget(others, one, false);
			case 3 -> forget(domainOf(owner), without(domainOf(owner)), true);
			case 4 -> lose(one, others);
			default -> delay(one, others);
		}
	}

	/**
	 * Cause one trouble of the owner, of other hosts or of the table.
	 */
	void disturbHosts() {
		SoakHost owner = owner();
		SoakHost other = other(owner);
		switch (this.random.nextInt(13)) {
			case 0, 1 -> kill(Set.of(owner));
			case 2 -> kill(with(owner, this.hosts.subList(0, SoakSite.LARGE_HOSTS)));
			case 3 -> kill(with(owner, List.of(other, other(owner), other(owner))));
			case 4 -> pause(Set.of(owner), duration());
			case 5 -> pause(with(owner, this.hosts.subList(0, SoakSite.LARGE_HOSTS)), duration());
			case 6 -> cutFromTable(owner);
			case 7 -> cutFromTable(other);
			case 8 -> silencePlatform(owner);
			case 9 -> silencePlatform(other);
			case 10 -> chaseOwners(true);
			case 11 -> chaseOwners(false);
			default -> disturbTable();
		}
	}

	private void forget(Set<String> from, Set<String> to, boolean bothWays) {
		note("connections from " + from + " to " + to + (bothWays ? " and back" : "") + " go silent for good");
		this.disturbances.happened(union(from, to));
		this.paths.forget(from, to);
		if (bothWays) {
			this.paths.forget(to, from);
		}
		this.disturbances.happened(union(from, to));
	}

	private void lose(Set<String> one, Set<String> others) {
		int direction = this.random.nextInt(3);
		boolean isForgotten = this.random.nextBoolean();
		Set<String> from = (direction == 1) ? others : one;
		Set<String> to = (direction == 1) ? one : others;
		boolean bothWays = direction == 2;
		int millis = duration();
		note("messages from " + from + " to " + to + (bothWays ? " and back" : "") + " are lost for " + millis
				+ " ms, then " + (isForgotten ? "connections are silent for good" : "sent again"));
		this.disturbances.begin(one);
		this.disturbances.happened(others);
		this.paths.lose(from, to);
		if (bothWays) {
			this.paths.lose(to, from);
		}
		later(millis, () -> {
			if (isForgotten) {
				this.paths.forget(one, others);
				this.paths.forget(others, one);
			}
			this.paths.heal(one, others);
			this.paths.heal(others, one);
			this.disturbances.end(one);
			this.disturbances.happened(others);
		});
	}

	private void delay(Set<String> one, Set<String> others) {
		int delay = this.random.nextInt(SHORTEST_DELAY_MILLIS, LONGEST_DELAY_MILLIS);
		int millis = duration();
		note("messages from and to " + one + " take " + delay + " ms longer for " + millis + " ms");
		this.disturbances.begin(one);
		this.disturbances.happened(others);
		this.paths.delay(one, others, delay);
		this.paths.delay(others, one, delay);
		later(millis, () -> {
			this.paths.delay(one, others, 0);
			this.paths.delay(others, one, 0);
			this.disturbances.end(one);
			this.disturbances.happened(others);
		});
	}

	private void kill(Set<SoakHost> killed) {
		Set<String> names = names(killed);
		note("kill " + names);
		this.disturbances.happened(names);
		killed.forEach((host) -> host.signal("KILL"));
	}

	private void pause(Set<SoakHost> paused, int millis) {
		Set<String> names = names(paused);
		note("pause " + names + " for " + millis + " ms");
		this.disturbances.begin(names);
		paused.forEach((host) -> host.signal("STOP"));
		later(millis, () -> {
			paused.forEach((host) -> host.signal("CONT"));
			this.disturbances.end(names);
		});
	}

	// Each owner is lost while it, or its successor, may not count yet.
	private void chaseOwners(boolean isKilled) {
		int gap = this.random.nextInt(SHORTEST_GAP_MILLIS, LONGEST_GAP_MILLIS);
		note("owners are " + (isKilled ? "killed" : "paused") + " one after the other, every " + gap + " ms");
		for (int i = 0; i < CHASED_OWNERS; i++) {
			int pause = duration();
			this.timer.schedule(() -> {
				if (isKilled) {
					kill(Set.of(owner()));
				}
				else {
					pause(Set.of(owner()), pause);
				}
			}, (long) i * gap, TimeUnit.MILLISECONDS);
		}
	}

	private void silencePlatform(SoakHost host) {
		note("connections of " + host.name() + " to the platform go silent for good");
		this.disturbances.happened(Set.of(host.name()));
		this.site.platformPath(host.name()).heal(LossyRelay.Recovery.FORGET);
		this.disturbances.happened(Set.of(host.name()));
	}

	private void cutFromTable(SoakHost host) {
		int millis = duration();
		note("the table does not answer " + host.name() + " for " + millis + " ms");
		this.disturbances.begin(Set.of(host.name()));
		PathCuts.Cut cut = this.platform.cuts().begin(Set.of(host.name()), Set.of(PathCuts.TABLE));
		later(millis, () -> {
			this.platform.cuts().end(cut);
			this.disturbances.end(Set.of(host.name()));
		});
	}

	private void disturbTable() {
		note("the table refuses reads for " + REFUSAL_MILLIS + " ms and loses its history");
		this.disturbances.begin(Set.of(PathCuts.TABLE));
		this.platform.refuseReads(true);
		later(REFUSAL_MILLIS, () -> {
			this.platform.refuseReads(false);
			this.platform.loseHistory();
			this.disturbances.end(Set.of(PathCuts.TABLE));
		});
	}

	private void later(long millis, Runnable end) {
		this.timer.schedule(() -> {
			end.run();
			note("a trouble of " + millis + " ms has ended");
		}, millis, TimeUnit.MILLISECONDS);
	}

	private int duration() {
		return this.random.nextInt(SHORTEST_MILLIS, LONGEST_MILLIS);
	}

	private SoakHost owner() {
		return this.hosts.stream().max(Comparator.comparingLong(SoakHost::lastEpoch)).orElseThrow();
	}

	private SoakHost other(SoakHost owner) {
		List<SoakHost> others = this.hosts.stream().filter((host) -> host != owner).toList();
		return others.get(this.random.nextInt(others.size()));
	}

	private Set<String> domainOf(SoakHost host) {
		return this.hosts.stream()
			.filter((other) -> other.failureDomain() == host.failureDomain())
			.map(SoakHost::name)
			.collect(Collectors.toSet());
	}

	private Set<String> without(Set<String> names) {
		return this.hosts.stream()
			.map(SoakHost::name)
			.filter((name) -> !names.contains(name))
			.collect(Collectors.toSet());
	}

	private static Set<SoakHost> with(SoakHost one, List<SoakHost> others) {
		Set<SoakHost> all = new HashSet<>(others);
		all.add(one);
		return all;
	}

	private static Set<String> names(Set<SoakHost> hosts) {
		return hosts.stream().map(SoakHost::name).collect(Collectors.toSet());
	}

	private static Set<String> union(Set<String> some, Set<String> others) {
		Set<String> union = new HashSet<>(some);
		union.addAll(others);
		return union;
	}

	private void note(String what) {
		this.log.accept(System.currentTimeMillis() + " " + what);
	}

}
