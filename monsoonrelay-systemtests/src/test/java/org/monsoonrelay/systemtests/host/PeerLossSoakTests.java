package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.standin.Await;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against counts of waiting jobs that a host answers from outdated knowledge, and
 * against work that is lost, while the paths between hosts lose, forget and delay
 * messages, the owner is killed, paused or cut off, and the table leaves hosts without
 * answer. Jobs come in bursts, of which most wait for a while. By hand:
 * {@code -Dsoak.seeds=20 -Dsoak.first=1 -Dsoak.hosts=12 -Dsoak.rounds=4}; a host takes
 * some 110 MB.
 */
class PeerLossSoakTests {

	private static final int WORKERS = 12;

	private static final int PLATFORM_PORT = 8173;

	private static final int FIRST_TASKS = 3;

	/** Only a third of the workers may run them, two at a time each. */
	private static final String JOB = """
			{"spec": "2000-3000", "steps": [{"count": 1, "cpu": 8000, "mem_mb": 500, "estimate_ms": 2500,
			  "constraints": "r0"}]}""";

	private static final SoakClient.Work TRICKLE = new SoakClient.Work(JOB, 3000, (job) -> {
	});

	private static final SoakClient.Work BURST = new SoakClient.Work(JOB, 100, (job) -> {
	});

	private static final int LASTING_TASKS = 2;

	/** Others than those for the bursts may run it, so that there is always room. */
	private static final SoakClient.Work LASTING = new SoakClient.Work("""
			{"spec": "3600000-3600001", "steps": [{"count": %d, "cpu": 1000, "mem_mb": 200, "estimate_ms": 1000,
			  "long_running": true, "constraints": "r1"}]}""".formatted(LASTING_TASKS), 1000, (job) -> {
	});

	private static final long SEED_DISTANCE = 1_000_003;

	private static final int BURST_CLIENTS = 12;

	private static final int BURST_MILLIS = 300;

	/** A burst and troubles begin at most this long after a round does. */
	private static final int LATEST_MILLIS = 4000;

	/** A round lasts this long after its burst, which is when most of it has begun. */
	private static final int WATCH_MILLIS = 12_000;

	@TestFactory
	Stream<DynamicTest> aHostCountsAtLeastHalfOfWhatHasWaitedForLongAndNoJobIsLost() {
		long first = Long.getLong("soak.first", 1);
		return LongStream.range(first, first + Long.getLong("soak.seeds", 1))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new Run(seed).soak()));
	}

	/** One seeded run. Confined to one thread. */
	private static final class Run {

		private final List<String> faults = Collections.synchronizedList(new ArrayList<>());

		private final List<String> events = Collections.synchronizedList(new ArrayList<>());

		private final List<String> counts = Collections.synchronizedList(new ArrayList<>());

		private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);

		private final Disturbances disturbances = new Disturbances();

		private final List<SoakHost> hosts = new ArrayList<>();

		private final List<SoakClient> clients = new CopyOnWriteArrayList<>();

		private final List<SoakClient> lasting = new CopyOnWriteArrayList<>();

		private final List<Thread> threads = new ArrayList<>();

		private final long seed;

		private final Random random;

		private final Path folder;

		Run(long seed) throws IOException {
			this.seed = seed;
			this.random = new Random(seed);
			this.folder = Files.createDirectories(Path.of("target", "soak", "peers-" + seed));
		}

		void soak() throws Exception {
			try (SoakSite site = new SoakSite(PLATFORM_PORT, WORKERS)) {
				for (int i = 0; i < Integer.getInteger("soak.hosts", 6); i++) {
					site.addHost(this.folder, this.timer, this.faults::add);
				}
				this.hosts.addAll(site.hosts());
				this.hosts.forEach(SoakHost::start);
				soak(site.platform(),
						new PeerTroubles(this.random, site, this.disturbances, this.timer, this.events::add));
			}
			finally {
				this.timer.shutdownNow();
				Files.write(this.folder.resolve("events.log"), this.events);
				Files.write(this.folder.resolve("counts.log"), this.counts);
			}
		}

		private void soak(PlatformFake platform, PeerTroubles troubles) throws Exception {
			SoakClient trickle = addClient(TRICKLE);
			addLastingJob();
			Await.until("the first tasks have been done", () -> platform.done().size() > FIRST_TASKS);
			List<CountProbe> probes = this.hosts.stream()
				.map((host) -> new CountProbe(host, this.clients::stream, platform.runs(), this.disturbances,
						this.faults::add, this.counts::add))
				.toList();
			probes.forEach(this::start);
			LastingWatch watch = new LastingWatch(this::lastingJobs,
					(job) -> platform.runs().areAtWork(job, LASTING_TASKS), this::isAllCalmSince, this.faults::add);
			start(watch);
			for (int i = 0; i < Integer.getInteger("soak.rounds", 1); i++) {
				playRound(troubles);
			}
			this.clients.forEach(SoakClient::stop);
			probes.forEach(CountProbe::stop);
			watch.stop();
			for (Thread thread : this.threads) {
				thread.join();
			}
			tell(probes, watch);
			check(platform, trickle);
		}

		private SoakClient addClient(SoakClient.Work work) {
			SoakClient client = new SoakClient(this.random.nextLong(), this.hosts, this.faults::add, work);
			this.clients.add(client);
			start(client);
			return client;
		}

		private void start(Runnable runnable) {
			Thread thread = new Thread(runnable);
			this.threads.add(thread);
			thread.start();
		}

		private void playRound(PeerTroubles troubles) {
			TreeMap<Integer, Runnable> actions = new TreeMap<>();
			int burstMillis = this.random.nextInt(LATEST_MILLIS);
			actions.put(burstMillis, this::burst);
			actions.put(anyMoment(actions), troubles::disturbPaths);
			actions.put(anyMoment(actions), troubles::disturbHosts);
			actions.put(anyMoment(actions),
					(this.random.nextInt(3) > 0) ? troubles::disturbHosts : troubles::disturbPaths);
			long begin = System.nanoTime();
			for (Map.Entry<Integer, Runnable> action : actions.entrySet()) {
				pauseUntil(begin + TimeUnit.MILLISECONDS.toNanos(action.getKey()));
				action.getValue().run();
			}
			pauseUntil(begin + TimeUnit.MILLISECONDS.toNanos(burstMillis + WATCH_MILLIS));
		}

		private int anyMoment(TreeMap<Integer, Runnable> taken) {
			int moment = this.random.nextInt(LATEST_MILLIS);
			while (taken.containsKey(moment)) {
				moment++;
			}
			return moment;
		}

		private void burst() {
			this.events.add(System.currentTimeMillis() + " burst of jobs");
			addLastingJob();
			for (int i = 0; i < BURST_CLIENTS; i++) {
				SoakClient client = addClient(BURST);
				this.timer.schedule(client::stop, BURST_MILLIS, TimeUnit.MILLISECONDS);
			}
		}

		private void addLastingJob() {
			long lastingSeed = -this.seed - SEED_DISTANCE * this.lasting.size();
			SoakClient client = new SoakClient(lastingSeed, this.hosts, this.faults::add, LASTING);
			this.lasting.add(client);
			client.stop();
			start(client);
		}

		private Set<String> lastingJobs() {
			return this.lasting.stream().flatMap((client) -> client.accepted().stream()).collect(Collectors.toSet());
		}

		private boolean isAllCalmSince(long nanos) {
			Set<String> all = this.hosts.stream().map(SoakHost::name).collect(Collectors.toCollection(HashSet::new));
			all.add(PathCuts.TABLE);
			return this.disturbances.areCalmSince(all, nanos)
					&& this.hosts.stream().allMatch((host) -> host.startedNanos() - nanos < 0);
		}

		private void tell(List<CountProbe> probes, LastingWatch watch) {
			probes.forEach((probe) -> this.events.add(probe.figures()));
			int asked = probes.stream().mapToInt(CountProbe::asked).sum();
			int refused = probes.stream().mapToInt(CountProbe::refused).sum();
			int compared = probes.stream().mapToInt(CountProbe::compared).sum();
			String summary = ("seed %d: %d counts in calm moments, %d of them while jobs waited for long, "
					+ "%.1f %% refused; tasks that last away for %d ms at most")
				.formatted(this.seed, asked, compared, 100.0 * refused / Math.max(1, asked), watch.awayMillis());
			this.events.add(summary);
			System.out.println(summary);
		}

		private void check(PlatformFake platform, SoakClient reader) throws IOException {
			List<String> accepted = this.clients.stream().flatMap((client) -> client.accepted().stream()).toList();
			assertThat(lastingJobs()).hasSameSizeAs(this.lasting);
			try {
				accepted.forEach((job) -> Await.until("job " + job + " is completed",
						() -> reader.state(job).contains("completed")));
				Await.until("tasks that last are at work",
						() -> lastingJobs().stream().allMatch((job) -> platform.runs().areAtWork(job, LASTING_TASKS)));
			}
			catch (IllegalStateException ex) {
				this.faults.add(ex.getMessage());
			}
			platform.runs().writeTo(this.folder.resolve("runs.log"));
			this.faults.addAll(platform.runs().faults());
			accepted.forEach((job) -> this.faults.addAll(platform.runs().wronglyDone(job, 1)));
			this.clients.stream()
				.flatMap((client) -> client.refused().stream())
				.filter(platform::hasBegun)
				.forEach((job) -> this.faults.add("job " + job + " was refused and ran"));
			Files.write(this.folder.resolve("faults.log"), this.faults);
			assertThat(this.faults).isEmpty();
		}

		private static void pauseUntil(long nanos) {
			for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
				LockSupport.parkNanos(left);
			}
		}

	}

}
