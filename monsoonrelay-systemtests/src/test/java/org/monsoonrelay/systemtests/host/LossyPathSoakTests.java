package org.monsoonrelay.systemtests.host;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.standin.LossyRelay;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against changes of the configuration that come into force too late at the hosts
 * of a failure domain whose path to the platform has lost packets. By hand with the
 * properties of {@link SilentConnectionsSoakTests}.
 */
class LossyPathSoakTests {

	private static final int CLIENTS = 6;

	private static final int WORKERS = 8;

	private static final SoakClient.Work WORK = new SoakClient.Work(SoakClient.JOB, 800, (job) -> {
	});

	private static final int PLATFORM_PORT = 8172;

	private static final int FIRST_TASKS = 20;

	/** A change has to be in force this long after it was confirmed. */
	private static final long APPLY_MILLIS = 2000;

	/** From this long after a disturbance on, a host counts as undisturbed. */
	private static final long CONTACT_MILLIS = 3000;

	/** How long a host is watched after a change is due. */
	private static final long WATCH_MILLIS = 1500;

	private static final int SHORTEST_LOSS_MILLIS = 1000;

	private static final int LONGEST_LOSS_MILLIS = 6500;

	/** A change is made at most this long before and after the end of a loss. */
	private static final int EARLIEST_CHANGE_MILLIS = -500;

	private static final int LATEST_CHANGE_MILLIS = 2600;

	private static final long REFUSAL_MILLIS = 900;

	/** Its second loss lets connections be forgotten. */
	private static final long FIRST_SEED = 7;

	@TestFactory
	Stream<DynamicTest> aChangeIsInForceInTimeAfterAPathHasLostPackets() {
		long first = Long.getLong("soak.first", FIRST_SEED);
		return LongStream.range(first, first + Long.getLong("soak.seeds", 1))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new Run(seed).soak()));
	}

	/** One seeded run. Confined to one thread. */
	private static final class Run {

		private final List<String> faults = Collections.synchronizedList(new ArrayList<>());

		private final List<String> events = Collections.synchronizedList(new ArrayList<>());

		private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

		private final List<SoakHost> hosts = new ArrayList<>();

		private final long seed;

		private final Random random;

		private final Path folder;

		private final String net;

		Run(long seed) throws Exception {
			this.seed = seed;
			this.random = new Random(seed);
			this.folder = Files.createDirectories(Path.of("target", "soak", "lossy-" + seed));
			long pid = ProcessHandle.current().pid();
			this.net = "127.%d.%d.".formatted(1 + pid % 250, pid / 250 % 250);
		}

		void soak() throws Exception {
			try (PlatformFake platform = new PlatformFake(this.net + 1, PLATFORM_PORT, WORKERS);
					LossyRelay lossy = relay(platform, this.net + 2);
					LossyRelay sound = relay(platform, this.net + 3)) {
				addHosts("lossy", 10, Integer.getInteger("soak.hosts", 3), lossy);
				addHosts("sound", 20, 2, sound);
				this.hosts.forEach(SoakHost::start);
				soak(platform, lossy);
			}
			finally {
				this.timer.shutdownNow();
				this.hosts.forEach(SoakHost::close);
				Files.write(this.folder.resolve("events.log"), this.events);
			}
		}

		private LossyRelay relay(PlatformFake platform, String ip) {
			HostAddress target = platform.listenForRelay(ip);
			return new LossyRelay(new HostAddress(ip, target.port()), target);
		}

		private void addHosts(String name, int firstNumber, int count, LossyRelay relay) {
			for (int i = 0; i < count; i++) {
				this.hosts.add(new SoakHost(name + "-" + i, this.net + (firstNumber + i), relay.address().toString(),
						this.folder, this.timer, this.faults::add));
			}
		}

		private void soak(PlatformFake platform, LossyRelay relay) throws Exception {
			List<SoakClient> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				clients.add(new SoakClient(this.seed * CLIENTS + i, this.hosts, this.faults::add, WORK));
			}
			List<RouteProbe> probes = this.hosts.stream()
				.map((host) -> new RouteProbe(host, this.faults::add, this.events::add))
				.toList();
			List<Thread> threads = Stream.concat(clients.stream(), probes.stream()).map(Thread::new).toList();
			threads.forEach(Thread::start);
			Await.until("the first tasks have been done", () -> platform.done().size() > FIRST_TASKS);
			int lastVersion = 1 + Integer.getInteger("soak.rounds", 2);
			for (int version = 2; version <= lastVersion; version++) {
				changeBesideLoss(version, platform, relay, probes);
			}
			probes.forEach(
					(probe) -> Await.until("the last change is served", () -> probe.servedVersion() == lastVersion));
			clients.forEach(SoakClient::stop);
			probes.forEach(RouteProbe::stop);
			for (Thread thread : threads) {
				thread.join();
			}
			List<String> accepted = clients.stream().flatMap((client) -> client.accepted().stream()).toList();
			accepted.forEach((job) -> Await.until("job " + job + " is completed",
					() -> clients.get(0).state(job).contains("completed")));
			this.faults.addAll(platform.runs().faults());
			assertThat(this.faults).isEmpty();
		}

		private void changeBesideLoss(int version, PlatformFake platform, LossyRelay relay, List<RouteProbe> probes) {
			LossyRelay.Loss loss = LossyRelay.Loss.values()[1 + this.random.nextInt(3)];
			LossyRelay.Recovery recovery = LossyRelay.Recovery.values()[this.random.nextInt(2)];
			int lossMillis = this.random.nextInt(SHORTEST_LOSS_MILLIS, LONGEST_LOSS_MILLIS);
			int changeMillis = this.random.nextInt(EARLIEST_CHANGE_MILLIS, LATEST_CHANGE_MILLIS);
			boolean isTableDisturbed = this.random.nextBoolean();
			this.events.add("%s for %d ms, %s, table disturbed: %s, version %d %d ms after its end".formatted(loss,
					lossMillis, recovery, isTableDisturbed, version, changeMillis));
			probes.forEach(RouteProbe::expectNothing);
			relay.lose(loss);
			long healNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(lossMillis);
			long changeNanos = healNanos + TimeUnit.MILLISECONDS.toNanos(changeMillis);
			long ackNanos = 0;
			if (changeMillis < 0) {
				ackNanos = configureAt(changeNanos, platform, version);
			}
			pauseUntil(healNanos);
			relay.heal(recovery);
			long calmNanos = isTableDisturbed ? disturbTable(platform) : System.nanoTime();
			if (changeMillis >= 0) {
				ackNanos = configureAt(changeNanos, platform, version);
			}
			long dueNanos = Math.max(ackNanos + TimeUnit.MILLISECONDS.toNanos(APPLY_MILLIS),
					calmNanos + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS));
			RouteProbe.Change change = new RouteProbe.Change(version, ackNanos, dueNanos);
			probes.forEach((probe) -> probe.expect(change));
			pauseUntil(dueNanos + TimeUnit.MILLISECONDS.toNanos(WATCH_MILLIS));
		}

		private static long configureAt(long nanos, PlatformFake platform, int version) {
			pauseUntil(nanos);
			platform.configure(version);
			return System.nanoTime();
		}

		private static long disturbTable(PlatformFake platform) {
			platform.refuseReads(true);
			pauseUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(REFUSAL_MILLIS));
			platform.refuseReads(false);
			platform.loseHistory();
			return System.nanoTime();
		}

		private static void pauseUntil(long nanos) {
			for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
				LockSupport.parkNanos(left);
			}
		}

	}

}
