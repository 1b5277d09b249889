package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.standin.Await;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against tasks that are started again after an acknowledged end, or more often
 * than they may fail, and against jobs and ends that are lost, while owners and the table
 * are disturbed at a high rate of jobs. By hand:
 * {@code -Dsoak.seeds=50 -Dsoak.first=1 -Dsoak.hosts=6 -Dsoak.seconds=40}; the forms of
 * {@link EndsSoakForm} with {@code -Dsoak.answers=whole -Dsoak.ends=20 -Dsoak.late=NONE}.
 */
class AcknowledgedEndsSoakTests {

	private static final int WORKERS = 33;

	private static final int HOSTS = 6;

	private static final double JOBS_PER_SECOND = 38.5;

	private static final int PLATFORM_PORT = 8174;

	private static final int MOST_FAILURES = 3;

	private static final int FIRST_STARTS = 300;

	private static final int TRAFFIC_SECONDS = 40;

	/** Jobs and ends have this time after the last disturbance. */
	private static final long FINISH_NANOS = TimeUnit.SECONDS.toNanos(60);

	private static final int MOST_PRINTED = 20;

	/** An epoch is so much higher than the fence of its orders. */
	private static final long EPOCH_BEFORE_FENCES = 99;

	/** Its answers to calls for changes have 5 rows. */
	private static final long FIRST_SEED = 1;

	@TestFactory
	Stream<DynamicTest> noTaskIsStartedAgainAfterAnAcknowledgedEndWhateverOwnersAndTheTableMeet() {
		long first = Long.getLong("soak.first", FIRST_SEED);
		return LongStream.range(first, first + Long.getLong("soak.seeds", 1))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> new Run(seed).soak()));
	}

	/** One seeded run. Confined to one thread. */
	private static final class Run {

		private final List<String> faults = Collections.synchronizedList(new ArrayList<>());

		private final List<String> events = Collections.synchronizedList(new ArrayList<>());

		private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(16);

		private final List<SoakHost> hosts = new ArrayList<>();

		private final long seed;

		private final EndsSoakForm form;

		private final Path folder;

		private final String net;

		Run(long seed) throws IOException {
			this.seed = seed;
			this.form = EndsSoakForm.draw(seed);
			this.folder = Files.createDirectories(Path.of("target", "soak", "ends-" + seed));
			long pid = ProcessHandle.current().pid();
			this.net = "127.%d.%d.".formatted(1 + pid % 250, pid / 250 % 250);
		}

		void soak() throws Exception {
			tell("seed " + this.seed + ", " + this.form);
			PlatformForm platformForm = this.form.platform(this.seed);
			try (PlatformFake platform = new PlatformFake(this.net + 1, PLATFORM_PORT, WORKERS,
					PlatformFake.RestartedId.NEW, platformForm)) {
				platform.showChangesLate(EndsSoakForm.longestUnseenMillis());
				for (int i = 0; i < Integer.getInteger("soak.hosts", HOSTS); i++) {
					this.hosts.add(new SoakHost("host-" + i, this.net + (10 + i), this.net + 1 + ":" + PLATFORM_PORT,
							this.folder, this.timer, this.faults::add));
				}
				this.hosts.forEach(SoakHost::start);
				play(platform, platformForm.table());
			}
			finally {
				this.timer.shutdownNow();
				this.hosts.forEach(SoakHost::close);
				Files.write(this.folder.resolve("events.log"), this.events);
			}
		}

		private void play(PlatformFake platform, TableTroubles table) throws Exception {
			RatedClients clients = new RatedClients(this.seed, this.hosts, JOBS_PER_SECOND, this.faults::add);
			clients.start();
			Await.until("the first tasks were started", () -> platform.runs().startCount() > FIRST_STARTS);
			long end = System.nanoTime()
					+ TimeUnit.SECONDS.toNanos(Integer.getInteger("soak.seconds", TRAFFIC_SECONDS));
			new EndsTroubles(this.seed, this.hosts, platform, table, this.timer, this::tell).playUntil(end);
			clients.stop();
			tell("the traffic ends");
			checkEnds(clients.accepted(), platform.runs());
			check(platform.runs(), clients.accepted().size());
		}

		private void checkEnds(List<RatedJob> jobs, TaskRuns runs) {
			long end = System.nanoTime() + FINISH_NANOS;
			SoakClient reader = new SoakClient(this.seed, this.hosts, this.faults::add);
			List<RatedJob> left = jobs;
			do {
				left = left.stream().filter((job) -> !job.isEnded(reader.state(job.id()))).toList();
				LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(200));
			}
			while (System.nanoTime() - end < 0 && (!left.isEmpty() || !runs.unacknowledged().isEmpty()));
			left.forEach((job) -> this.faults.add("job " + job + " has not ended, but is " + reader.state(job.id())));
			runs.unacknowledged().forEach((run) -> this.faults.add("not acknowledged: " + run));
		}

		private void check(TaskRuns runs, int jobs) throws IOException {
			this.faults.addAll(runs.faults());
			this.faults.addAll(runs.lateFaults(MOST_FAILURES));
			String summary = "seed %d, %s: %d jobs, %d starts, %d faults; %s; logs: %s".formatted(this.seed, this.form,
					jobs, runs.startCount(), this.faults.size(), owners(), this.folder.toAbsolutePath());
			tell(summary);
			System.out.println(summary);
			runs.writeTo(this.folder.resolve("runs.log"));
			Files.write(this.folder.resolve("faults.log"), this.faults);
			assertThat(this.faults.stream().limit(MOST_PRINTED)).as(summary).isEmpty();
		}

		private String owners() {
			Map<Long, String> owners = new TreeMap<>();
			this.hosts.forEach(
					(host) -> host.epochs().forEach((epoch) -> owners.put(epoch - EPOCH_BEFORE_FENCES, host.name())));
			return "owners by fence " + owners;
		}

		private void tell(String event) {
			this.events.add(System.currentTimeMillis() + " " + event);
		}

	}

}
