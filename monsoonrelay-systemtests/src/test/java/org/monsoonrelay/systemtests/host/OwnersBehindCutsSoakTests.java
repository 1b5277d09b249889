package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.standin.Await;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against tasks that an owner behind a cut starts after its successor has
 * accounted for them, with processes and with cuts that outlast every lease. A task may
 * be done again only if the lease of its worker lapsed between the end and its
 * acknowledgement, see {@link TaskRuns}. Connections between hosts are not cut: an owner
 * learns only from the table and the workers that it has a successor. By hand with the
 * properties of {@link HostSoakTests}; the last cut may end up to 18 s after
 * {@code soak.seconds}.
 */
class OwnersBehindCutsSoakTests {

	private static final int WORKERS = 12;

	private static final int PLATFORM_PORT = 8171;

	/** A gang counts as one, as an end of it does. */
	private static final int UNITS = SoakClient.TASKS - SoakClient.GANG_TASKS + 1;

	private static final SoakClient.Work BRIEF = work("40-400", 300);

	private static final SoakClient.Work MIDDLE = work("400-4000", 900);

	/** Such tasks span a cut, or begin before and end during it. */
	private static final SoakClient.Work LONG = work("2000-9000", 3000);

	/** Cuts begin once that many have been done, so that the owner knows all workers. */
	private static final int FIRST_TASKS = 20;

	private static final int LASTING_TASKS = 2;

	private static final SoakClient.Work LASTING = new SoakClient.Work("""
			{"spec": "3600000-3600001", "steps": [{"count": %d, "cpu": 1000, "mem_mb": 200, "estimate_ms": 1000,
			  "long_running": true}]}""".formatted(LASTING_TASKS), 6000, (job) -> {
	});

	private static SoakClient.Work work(String bounds, int longestPauseMillis) {
		String estimate = bounds.substring(bounds.indexOf('-') + 1);
		return new SoakClient.Work(
				"{\"spec\": \"" + bounds + "\", "
						+ SoakClient.JOB.substring(1).replace("\"estimate_ms\": 300", "\"estimate_ms\": " + estimate),
				longestPauseMillis, (job) -> {
				});
	}

	@TestFactory
	Stream<DynamicTest> noTaskIsStartedAgainBehindACutAndEachAcceptedJobIsCompletedAfterIt() {
		long first = Long.getLong("soak.first", 1);
		return LongStream.range(first, first + Long.getLong("soak.seeds", 1))
			.mapToObj((seed) -> DynamicTest.dynamicTest("seed " + seed, () -> soak(seed)));
	}

	private static void soak(long seed) throws Exception {
		Path folder = Files.createDirectories(Path.of("target", "soak", "cuts-" + seed));
		List<String> faults = Collections.synchronizedList(new ArrayList<>());
		long pid = ProcessHandle.current().pid();
		String net = "127.%d.%d.".formatted(1 + pid % 250, pid / 250 % 250);
		ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
		List<SoakHost> hosts = new ArrayList<>();
		try (PlatformFake platform = new PlatformFake(net + 1, PLATFORM_PORT, WORKERS)) {
			for (int i = 0; i < Integer.getInteger("soak.hosts", 4); i++) {
				String name = "host-" + i;
				hosts.add(new SoakHost(name, net + (10 + i), platform.listenFor(name), folder, timer, faults::add));
			}
			hosts.forEach(SoakHost::start);
			SoakClient lasting = new SoakClient(-seed, hosts, faults::add, LASTING);
			List<SoakClient> clients = new ArrayList<>();
			for (SoakClient.Work work : List.of(BRIEF, MIDDLE, MIDDLE, LONG)) {
				clients.add(new SoakClient(seed * UNITS + clients.size(), hosts, faults::add, work));
			}
			List<Thread> threads = Stream.concat(Stream.of(lasting), clients.stream()).map(Thread::new).toList();
			threads.forEach(Thread::start);
			Await.until("the first tasks have been done", () -> platform.done().size() > FIRST_TASKS);
			CutSeries cuts = new CutSeries(seed, hosts, platform, timer);
			Files.write(folder.resolve("cuts.log"), cuts.play(Integer.getInteger("soak.seconds", 12)));
			lasting.stop();
			clients.forEach(SoakClient::stop);
			for (Thread thread : threads) {
				thread.join();
			}
			check(platform, lasting, clients, faults, folder);
		}
		finally {
			timer.shutdownNow();
			hosts.forEach(SoakHost::close);
		}
	}

	private static void check(PlatformFake platform, SoakClient lasting, List<SoakClient> clients, List<String> faults,
			Path folder) throws IOException {
		List<String> accepted = clients.stream().flatMap((client) -> client.accepted().stream()).toList();
		assertThat(accepted).isNotEmpty();
		try {
			accepted.forEach((job) -> awaitCompleted(clients.get(0), job));
			lasting.accepted()
				.forEach((job) -> Await.until("tasks of job " + job + " are at work",
						() -> platform.runs().areAtWork(job, LASTING_TASKS)));
		}
		catch (IllegalStateException ex) {
			faults.add(ex.getMessage());
		}
		TaskRuns runs = platform.runs();
		runs.writeTo(folder.resolve("runs.log"));
		faults.addAll(runs.faults());
		accepted.forEach((job) -> faults.addAll(runs.wronglyDone(job, UNITS)));
		Stream.concat(Stream.of(lasting), clients.stream())
			.flatMap((client) -> client.refused().stream())
			.filter(platform::hasBegun)
			.forEach((job) -> faults.add("job " + job + " was refused and ran"));
		assertThat(faults).isEmpty();
	}

	private static void awaitCompleted(SoakClient reader, String job) {
		AtomicReference<String> last = new AtomicReference<>("");
		try {
			Await.until("job " + job + " is completed", () -> {
				last.set(reader.state(job));
				return last.get().contains("completed");
			});
		}
		catch (IllegalStateException ex) {
			throw new IllegalStateException(ex.getMessage() + ", last answer " + last.get(), ex);
		}
	}

}
