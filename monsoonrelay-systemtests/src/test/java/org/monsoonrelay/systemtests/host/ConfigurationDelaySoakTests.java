package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.pool.PoolClock;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.platform.ConfigurationFollower;
import org.monsoonrelay.platform.HttpTable;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.LossyRelay;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the delays of a configuration change adding up: lost packets and silent
 * connections in a row, then refused reads and a lost history. By hand with
 * {@code -Dsoak.seeds=200 -Dsoak.first=1}.
 */
class ConfigurationDelaySoakTests {

	private static final int CONCURRENT_SEEDS = 12;

	/** Pairs of addresses, more than there are concurrent seeds. */
	private static final int ADDRESSES = 120;

	private static final int PLATFORM_PORT = 8173;

	private static final int IDLE_CONNECTIONS = 8;

	/** A change has to be in force this long after it was confirmed. */
	private static final long APPLY_MILLIS = 2000;

	/** From this long after the end of a loss on, a host counts as undisturbed. */
	private static final long CONTACT_MILLIS = 3000;

	private static final int MOST_LOSSES = 4;

	private static final int LONGEST_PAUSE_MILLIS = 1200;

	private static final int LONGEST_LOSS_MILLIS = 4000;

	private static final int LATEST_CHANGE_MILLIS = 2600;

	private static final int LONGEST_REFUSAL_MILLIS = 900;

	@Test
	void aChangeIsInForceInTimeAfterLossesSilencesRefusalsAndALostHistoryInARow() throws IOException {
		long first = Long.getLong("soak.first", 1);
		long last = first + Long.getLong("soak.seeds", CONCURRENT_SEEDS);
		ExecutorService threads = Executors.newFixedThreadPool(CONCURRENT_SEEDS);
		List<CompletableFuture<Delay>> delays = LongStream.range(first, last)
			.mapToObj((seed) -> CompletableFuture.supplyAsync(() -> new Run(seed).delay(), threads))
			.toList();
		List<Delay> measured = delays.stream().map(CompletableFuture::join).toList();
		threads.shutdownNow();
		Files.write(Files.createDirectories(Path.of("target", "soak")).resolve("delays.log"),
				measured.stream().map(Delay::toString).toList());
		assertThat(measured).filteredOn((delay) -> delay.marginMillis() < 0).isEmpty();
	}

	/**
	 * A measured delay.
	 *
	 * @param seed the seed
	 * @param events what came before and beside the change
	 * @param millis time from its confirmation to its effect
	 * @param marginMillis time from its effect until it was due
	 */
	private record Delay(long seed, List<String> events, long millis, long marginMillis) {

	}

	/** One seeded run. Confined to one thread. */
	private static final class Run {

		private final List<String> events = new ArrayList<>();

		private final long seed;

		private final Random random;

		private final String net;

		private volatile long inForceNanos;

		Run(long seed) {
			this.seed = seed;
			this.random = new Random(seed);
			long pid = ProcessHandle.current().pid();
			this.net = "127.%d.%d.".formatted(1 + pid % 250, pid / 250 % 250);
		}

		Delay delay() {
			int number = 2 + 2 * (int) (this.seed % ADDRESSES);
			ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
			ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
			try (PlatformFake platform = new PlatformFake(this.net + number, PLATFORM_PORT, 0);
					LossyRelay relay = relay(platform, this.net + (number + 1))) {
				UnreadableRows unreadable = new UnreadableRows(DecisionLog.NONE);
				HttpTable table = new HttpTable(relay.address(), unreadable);
				ConfigurationFollower follower = new ConfigurationFollower(table, executor, DecisionLog.NONE,
						(configuration) -> this.inForceNanos = System.nanoTime(), unreadable, PoolClock.SYSTEM);
				follower.start();
				Await.until("the first version is in force", () -> follower.activeConfiguration().version() == 1);
				openConnections(table);
				try {
					return change(platform, relay, timer);
				}
				finally {
					follower.close();
				}
			}
			finally {
				executor.shutdownNow();
				timer.shutdownNow();
			}
		}

		private static LossyRelay relay(PlatformFake platform, String ip) {
			HostAddress target = platform.listenForRelay(ip);
			return new LossyRelay(new HostAddress(ip, target.port()), target);
		}

		private static void openConnections(HttpTable table) {
			CompletableFuture
				.allOf(LongStream.range(0, IDLE_CONNECTIONS)
					.mapToObj((i) -> table.read("op", "", "", 1))
					.toArray(CompletableFuture[]::new))
				.join();
		}

		private Delay change(PlatformFake platform, LossyRelay relay, ScheduledExecutorService timer) {
			for (int i = this.random.nextInt(MOST_LOSSES); i > 0; i--) {
				losePackets(relay);
			}
			long calmNanos = losePackets(relay);
			if (this.random.nextBoolean()) {
				int refusalMillis = this.random.nextInt(LONGEST_REFUSAL_MILLIS);
				this.events.add("refusals for %d ms, then a lost history".formatted(refusalMillis));
				platform.refuseReads(true);
				timer.schedule(() -> {
					platform.refuseReads(false);
					platform.loseHistory();
				}, refusalMillis, TimeUnit.MILLISECONDS);
			}
			int changeMillis = this.random.nextInt(LATEST_CHANGE_MILLIS);
			this.events.add("a change after %d ms".formatted(changeMillis));
			pause(changeMillis);
			long ackNanos = System.nanoTime();
			platform.configure(2);
			Await.until("the change of seed " + this.seed + " is in force", () -> this.inForceNanos - ackNanos > 0);
			long dueNanos = Math.max(ackNanos + TimeUnit.MILLISECONDS.toNanos(APPLY_MILLIS),
					calmNanos + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS));
			return new Delay(this.seed, this.events, TimeUnit.NANOSECONDS.toMillis(this.inForceNanos - ackNanos),
					TimeUnit.NANOSECONDS.toMillis(dueNanos - this.inForceNanos));
		}

		private long losePackets(LossyRelay relay) {
			pause(this.random.nextInt(LONGEST_PAUSE_MILLIS));
			LossyRelay.Loss loss = LossyRelay.Loss.values()[1 + this.random.nextInt(3)];
			LossyRelay.Recovery recovery = LossyRelay.Recovery.values()[this.random.nextInt(2)];
			int lossMillis = this.random.nextBoolean() ? 0 : this.random.nextInt(LONGEST_LOSS_MILLIS);
			this.events.add("%s lost for %d ms, %s".formatted(loss, lossMillis, recovery));
			relay.lose(loss);
			pause(lossMillis);
			relay.heal(recovery);
			return System.nanoTime();
		}

		private static void pause(int millis) {
			long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
			for (long left = endNanos - System.nanoTime(); left > 0; left = endNanos - System.nanoTime()) {
				LockSupport.parkNanos(left);
			}
		}

	}

}
