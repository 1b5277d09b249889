package org.monsoonrelay.systemtests.host;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;
import org.monsoonrelay.standin.Await;
import org.monsoonrelay.systemtests.host.PlatformFake.RestartedId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against tasks that take one worker after another, and against jobs that are lost
 * or given up because they met them, while hosts are stopped, killed, paused and hung up
 * in series that overlap. Crashed workers restart under another id or, in a second run of
 * each seed, under that which they had. By hand with the properties of
 * {@link HostSoakTests}.
 */
class CrashingTasksSoakTests {

	private static final int CLIENTS = 4;

	private static final int WORKERS = 12;

	private static final int PLATFORM_PORT = 8170;

	private static final int LONGEST_PAUSE_MILLIS = 120;

	private static final int LONGEST_PAUSE_OF_CRASHES_MILLIS = 6000;

	private static final String CRASHING_JOB = """
			{"steps": [{"count": 1, "cpu": 2000, "mem_mb": 500, "estimate_ms": 300}]}""";

	@TestFactory
	Stream<DynamicTest> tasksThatCrashTheirWorkersAreGivenUpAndAllOthersAreDone() {
		long first = Long.getLong("soak.first", 1);
		return LongStream.range(first, first + Long.getLong("soak.seeds", 1))
			.boxed()
			.flatMap((seed) -> Stream.of(RestartedId.values())
				.map((id) -> DynamicTest.dynamicTest("seed " + seed + ", restarted id " + id, () -> soak(seed, id))));
	}

	private static void soak(long seed, RestartedId id) throws Exception {
		Path folder = Files.createDirectories(Path.of("target", "soak", "crashes-" + seed + "-" + id));
		List<String> faults = Collections.synchronizedList(new ArrayList<>());
		long pid = ProcessHandle.current().pid();
		String net = "127.%d.%d.".formatted(1 + pid % 250, pid / 250 % 250);
		ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
		List<SoakHost> hosts = new ArrayList<>();
		try (PlatformFake platform = new PlatformFake(net + 1, PLATFORM_PORT, WORKERS, id, PlatformForm.calm())) {
			for (int i = 0; i < Integer.getInteger("soak.hosts", 4); i++) {
				hosts.add(new SoakHost("host-" + i, net + (10 + i), net + 1 + ":" + PLATFORM_PORT, folder, timer,
						faults::add));
			}
			hosts.forEach(SoakHost::start);
			SoakClient.Work crashing = new SoakClient.Work(CRASHING_JOB, LONGEST_PAUSE_OF_CRASHES_MILLIS,
					platform.crashes()::addCrashingJob);
			SoakClient.Work others = new SoakClient.Work(SoakClient.JOB, LONGEST_PAUSE_MILLIS, (job) -> {
			});
			SoakClient crashingClient = new SoakClient(-seed, hosts, faults::add, crashing);
			List<SoakClient> clients = new ArrayList<>();
			for (int i = 0; i < CLIENTS; i++) {
				clients.add(new SoakClient(seed * CLIENTS + i, hosts, faults::add, others));
			}
			play(seed, hosts, timer, Stream.concat(Stream.of(crashingClient), clients.stream()).toList());
			check(platform, crashingClient, clients, faults);
		}
		finally {
			timer.shutdownNow();
			hosts.forEach(SoakHost::close);
		}
	}

	private static void play(long seed, List<SoakHost> hosts, ScheduledExecutorService timer, List<SoakClient> clients)
			throws InterruptedException {
		List<Thread> threads = clients.stream().map(Thread::new).toList();
		threads.forEach(Thread::start);
		HostSoakTests.disturb(new Random(seed), hosts, timer);
		clients.forEach(SoakClient::stop);
		for (Thread thread : threads) {
			thread.join();
		}
	}

	private static void check(PlatformFake platform, SoakClient crashingClient, List<SoakClient> clients,
			List<String> faults) {
		assertThat(crashingClient.accepted()).isNotEmpty();
		for (String job : crashingClient.accepted()) {
			Await.until("job " + job + " has failed", () -> crashingClient.state(job).contains("failed"));
		}
		List<String> accepted = clients.stream().flatMap((client) -> client.accepted().stream()).toList();
		assertThat(accepted).isNotEmpty();
		for (String job : accepted) {
			Await.until("job " + job + " is completed", () -> clients.get(0).state(job).contains("completed"));
		}
		faults.addAll(platform.crashes().violations());
		faults.addAll(platform.runs().faults());
		Map<String, Integer> done = platform.done();
		Set<String> uncertain = platform.crashes().uncertain();
		for (String job : accepted) {
			List<String> ended = Stream.concat(done.keySet().stream(), uncertain.stream())
				.filter((task) -> task.startsWith(job + "."))
				.distinct()
				.toList();
			long single = ended.stream().filter((task) -> !task.contains(WorkerFake.GANG_STEP)).count();
			if (single != SoakClient.TASKS - SoakClient.GANG_TASKS || single == ended.size()) {
				faults.add("job " + job + " is completed, but only these of its tasks were done: " + ended);
			}
		}
		done.forEach((task, count) -> {
			if (count > 1) {
				faults.add(task + " was done again after its end had been acknowledged: " + count);
			}
		});
		assertThat(faults).isEmpty();
	}

}
