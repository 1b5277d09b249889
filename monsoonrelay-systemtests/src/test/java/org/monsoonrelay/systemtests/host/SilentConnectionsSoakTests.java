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
import org.monsoonrelay.standin.CutRelay;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against changes of the configuration that come into force too late because
 * connections to the platform have gone silent; a host that says so is not late. By hand
 * with the properties of {@link HostSoakTests} and {@code -Dsoak.rounds=10}.
 */
class SilentConnectionsSoakTests {

	private static final int CLIENTS = 6;

	private static final int WORKERS = 8;

	/** Half of what the workers can do. */
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

	private static final int LONGEST_PAUSE_MILLIS = 2500;

	@TestFactory
	Stream<DynamicTest> aChangeIsInForceInTimeAfterAllConnectionsHaveGoneSilent() {
		long first = Long.getLong("soak.first", 1);
		return LongStream.range(first, first + Long.getLong("soak.seeds", 1))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> soak(seed)));
	}

	private static void soak(long seed) throws Exception {
		Path folder = Files.createDirectories(Path.of("target", "soak", "silent-" + seed));
		List<String> faults = Collections.synchronizedList(new ArrayList<>());
		List<String> delays = Collections.synchronizedList(new ArrayList<>());
		long pid = ProcessHandle.current().pid();
		String net = "127.%d.%d.".formatted(1 + pid % 250, pid / 250 % 250);
		ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
		List<SoakHost> hosts = new ArrayList<>();
		try (PlatformFake platform = new PlatformFake(net + 1, PLATFORM_PORT, WORKERS);
				CutRelay relay = relay(platform, net + 2)) {
			for (int i = 0; i < Integer.getInteger("soak.hosts", 3); i++) {
				hosts.add(new SoakHost("host-" + i, net + (10 + i), relay.address().toString(), folder, timer,
						faults::add));
			}
			hosts.forEach(SoakHost::start);
			List<SoakClient> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				clients.add(new SoakClient(seed * CLIENTS + i, hosts, faults::add, WORK));
			}
			List<RouteProbe> probes = hosts.stream()
				.map((host) -> new RouteProbe(host, faults::add, delays::add))
				.toList();
			List<Thread> threads = Stream.concat(clients.stream(), probes.stream()).map(Thread::new).toList();
			threads.forEach(Thread::start);
			Await.until("the first tasks have been done", () -> platform.done().size() > FIRST_TASKS);
			int lastVersion = changeBesideSilence(new Random(seed), platform, relay, probes);
			probes.forEach(
					(probe) -> Await.until("the last change is served", () -> probe.servedVersion() == lastVersion));
			clients.forEach(SoakClient::stop);
			probes.forEach(RouteProbe::stop);
			for (Thread thread : threads) {
				thread.join();
			}
			Files.write(folder.resolve("delays.log"), delays);
			List<String> accepted = clients.stream().flatMap((client) -> client.accepted().stream()).toList();
			accepted.forEach((job) -> Await.until("job " + job + " is completed",
					() -> clients.get(0).state(job).contains("completed")));
			faults.addAll(platform.runs().faults());
			assertThat(faults).isEmpty();
		}
		finally {
			timer.shutdownNow();
			hosts.forEach(SoakHost::close);
		}
	}

	private static CutRelay relay(PlatformFake platform, String ip) {
		HostAddress target = platform.listenForRelay(ip);
		return new CutRelay(new HostAddress(ip, target.port()), target);
	}

	private static int changeBesideSilence(Random random, PlatformFake platform, CutRelay relay,
			List<RouteProbe> probes) {
		int lastVersion = 1 + Integer.getInteger("soak.rounds", 2);
		for (int version = 2; version <= lastVersion; version++) {
			long silentNanos = System.nanoTime();
			relay.cut();
			relay.heal();
			pause(random.nextInt(LONGEST_PAUSE_MILLIS));
			platform.configure(version);
			long ackNanos = System.nanoTime();
			long dueNanos = Math.max(ackNanos + TimeUnit.MILLISECONDS.toNanos(APPLY_MILLIS),
					silentNanos + TimeUnit.MILLISECONDS.toNanos(CONTACT_MILLIS));
			RouteProbe.Change change = new RouteProbe.Change(version, ackNanos, dueNanos);
			probes.forEach((probe) -> probe.expect(change));
			pause(TimeUnit.NANOSECONDS.toMillis(dueNanos - System.nanoTime()) + WATCH_MILLIS);
		}
		return lastVersion;
	}

	private static void pause(long millis) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
	}

}
