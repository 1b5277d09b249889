package org.monsoonrelay.systemtests.host;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * A seeded series of disturbances of hosts and of the table, some of which overlap.
 * Confined to one thread, but what it starts ends on a timer.
 */
final class EndsTroubles {

	/**
	 * Between most disturbances an owner starts some tasks, however slow the hosts are.
	 */
	private static final int FEWEST_STARTS = 40;

	private static final int MOST_STARTS = 500;

	private static final long LONGEST_GAP_NANOS = TimeUnit.SECONDS.toNanos(8);

	/** One of so many disturbances comes together with the next one. */
	private static final int JOINED_SHARE = 4;

	private static final int JOINED_MILLIS = 800;

	private static final int LONGEST_TAKE_OVER_MILLIS = 2600;

	private static final int SPREAD_MILLIS = 12;

	/** A loss follows an acknowledgement by less than this. */
	private static final int AFTER_END_MILLIS = 60;

	private final Random random;

	private final List<SoakHost> hosts;

	private final PlatformFake platform;

	private final TableTroubles table;

	private final ScheduledExecutorService timer;

	private final Consumer<String> events;

	private final List<Kind> kinds;

	private int version = 1;

	EndsTroubles(long seed, List<SoakHost> hosts, PlatformFake platform, TableTroubles table,
			ScheduledExecutorService timer, Consumer<String> events) {
		this.random = new Random(seed);
		this.hosts = hosts;
		this.platform = platform;
		this.table = table;
		this.timer = timer;
		this.events = events;
		String chosen = System.getProperty("soak.troubles", "");
		Stream<Kind> all = chosen.isEmpty() ? Arrays.stream(Kind.values())
				: Arrays.stream(chosen.split(",")).map(Kind::valueOf);
		this.kinds = all.flatMap((kind) -> Collections.nCopies(kind.weight, kind).stream()).toList();
	}

	/**
	 * Disturb until a moment; by then the longest disturbances may still go on.
	 * @param endNanos the moment
	 * @throws InterruptedException if interrupted
	 */
	void playUntil(long endNanos) throws InterruptedException {
		while (System.nanoTime() - endNanos < 0) {
			Kind kind = this.kinds.get(this.random.nextInt(this.kinds.size()));
			this.events.accept(kind.toString());
			begin(kind);
			int starts = this.random.nextInt(FEWEST_STARTS, MOST_STARTS);
			if (this.random.nextInt(JOINED_SHARE) > 0) {
				awaitStarts(starts, endNanos);
			}
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(this.random.nextInt(JOINED_MILLIS)));
		}
	}

	private void awaitStarts(int starts, long endNanos) {
		int wanted = this.platform.runs().startCount() + starts;
		long giveUpNanos = Math.min(endNanos, System.nanoTime() + LONGEST_GAP_NANOS);
		while (this.platform.runs().startCount() < wanted && System.nanoTime() - giveUpNanos < 0) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
		}
	}

	private void begin(Kind kind) throws InterruptedException {
		switch (kind) {
			case OWNER_STOPPED -> signal(owner(), "TERM", 0);
			case OWNER_KILLED -> signal(owner(), "KILL", 0);
			case OWNER_PAUSED -> pause(owner());
			case OWNER_LOST_AFTER_END -> loseAfterEnd(List.of(owner()));
			case ALL_STOPPED -> signalAll(this.hosts, "TERM");
			case ALL_KILLED -> signalAll(this.hosts, "KILL");
			case ALL_LOST_AFTER_END -> loseAfterEnd(this.hosts);
			case STANDBY_LOST -> loseOwnerAndStandby();
			case RELOADED -> signal(any(), "HUP", 0);
			case CONFIGURED -> this.platform.configure(++this.version);
			case TABLE_AWAY -> {
				this.table.setAway(true);
				later(() -> this.table.setAway(false), 300, 1500);
			}
			case TABLE_SLOW -> {
				this.table.setSlow(this.random.nextInt(50, 500));
				later(() -> this.table.setSlow(0), 300, 1500);
			}
			case HISTORY_LOST -> {
				this.platform.loseHistory();
				this.table.reset();
			}
			case RESET -> this.table.reset();
			case ANSWERS_LOST -> {
				this.table.loseAnswers(this.random.nextInt(30), this.random.nextInt(30));
				later(() -> this.table.loseAnswers(0, 0), 300, 2500);
			}
		}
	}

	private SoakHost any() {
		return this.hosts.get(this.random.nextInt(this.hosts.size()));
	}

	private SoakHost owner() {
		return this.hosts.stream().max(Comparator.comparingLong(SoakHost::lastEpoch)).orElseThrow();
	}

	private void signal(SoakHost host, String name, long delayMillis) {
		this.timer.schedule(() -> {
			this.events.accept(host.name() + " " + name);
			host.signal(name);
		}, delayMillis, TimeUnit.MILLISECONDS);
	}

	private void signalAll(List<SoakHost> targets, String name) {
		targets.forEach((host) -> signal(host, name, this.random.nextInt(SPREAD_MILLIS)));
	}

	private void pause(SoakHost host) {
		int millis = this.random.nextInt(600, 3000);
		signal(host, "STOP", 0);
		signal(host, "CONT", millis);
	}

	private void loseAfterEnd(List<SoakHost> targets) throws InterruptedException {
		String name = this.random.nextBoolean() ? "KILL" : "TERM";
		int millis = this.random.nextInt(AFTER_END_MILLIS);
		this.platform.runs().awaitAcknowledgement(1000);
		targets.forEach((host) -> signal(host, name, millis));
	}

	private void loseOwnerAndStandby() {
		SoakHost owner = owner();
		List<SoakHost> standbys = new ArrayList<>(this.hosts);
		standbys.remove(owner);
		SoakHost standby = standbys.isEmpty() ? owner : standbys.get(this.random.nextInt(standbys.size()));
		signal(owner, this.random.nextBoolean() ? "KILL" : "TERM", 0);
		signal(standby, this.random.nextBoolean() ? "KILL" : "TERM", this.random.nextInt(LONGEST_TAKE_OVER_MILLIS));
	}

	private void later(Runnable end, int leastMillis, int mostMillis) {
		this.timer.schedule(end, this.random.nextInt(leastMillis, mostMillis), TimeUnit.MILLISECONDS);
	}

	/** What is disturbed, and how likely it is. */
	private enum Kind {

		/** The owner is told to stop. */
		OWNER_STOPPED(5),

		/** The owner is killed. */
		OWNER_KILLED(3),

		/** The owner is paused. */
		OWNER_PAUSED(2),

		/** The owner is lost just after an acknowledgement. */
		OWNER_LOST_AFTER_END(3),

		/** All hosts are told to stop, nearly together. */
		ALL_STOPPED(1),

		/** All hosts are killed, nearly together. */
		ALL_KILLED(1),

		/** All hosts are lost just after an acknowledgement. */
		ALL_LOST_AFTER_END(1),

		/** The owner is lost, and another host while the pool is taken over. */
		STANDBY_LOST(2),

		/** A host reads its settings again. */
		RELOADED(1),

		/** The configuration changes. */
		CONFIGURED(1),

		/** The table refuses calls and breaks off those that are open. */
		TABLE_AWAY(1),

		/** Calls to the table take longer. */
		TABLE_SLOW(1),

		/** The table drops its history and the calls that wait for changes. */
		HISTORY_LOST(1),

		/** All connections to the table break while calls are open. */
		RESET(1),

		/** Writes are executed late or left unanswered. */
		ANSWERS_LOST(1);

		private final int weight;

		Kind(int weight) {
			this.weight = weight;
		}

	}

}
