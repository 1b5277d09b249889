package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A small deployment on loopback addresses: hosts of the system, the platform's store and
 * executors, one queue and its clients. Runs a case and turns its result into an exit
 * code.
 */
final class Cell implements AutoCloseable {

	static final String SERVICE = "work";

	static final String PREFIX = "/jobs/";

	static final String QUEUE_HOST = "cell.example";

	static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(2, (task) -> {
		Thread thread = new Thread(task, "cell-timer");
		thread.setDaemon(true);
		return thread;
	});

	private static final int PLATFORM_PORT = 8169;

	private static final int EXECUTOR_PORT = 8080;

	private static final long MAX_SECONDS = 116;

	private static final int HELD = 0;

	private static final int BROKEN = 1;

	private static final int NOT_RUN = 2;

	final Record record;

	final Table table;

	final Runs runs;

	final List<Host> hosts = new ArrayList<>();

	final List<Executor> executors = new ArrayList<>();

	final Client client;

	private final Path folder;

	private final String net;

	private final int cpu;

	private Cell(Record record, int hostCount, int executorCount, int cpu, boolean recordsRuns, boolean keepsId)
			throws IOException {
		this.record = record;
		this.cpu = executorCount * cpu;
		this.folder = Files.createTempDirectory("review");
		this.net = freeNet();
		this.table = new Table(record);
		this.runs = new Runs(record);
		this.table.put("op", "config", """
				{"version": 7, "services": [{"name": "%1$s", "enforces_capacity": false}],
				 "routes": [{"name": "jobs", "host": "%2$s", "path_prefix": "%3$s", "kind": "non_idempotent",
				  "timeout_ms": 3000, "target_latency_ms": 1000, "priority": 0, "service": "%1$s",
				  "max_attempts": 3, "slack_factor": 2}]}""".formatted(SERVICE, QUEUE_HOST, PREFIX)
			.getBytes(StandardCharsets.UTF_8));
		String platform = this.net + "1";
		Web.serve(platform, PLATFORM_PORT, (exchange, path, query, body) -> path.equals("/api/advise") ? advice(body)
				: this.table.answer(path, query, body));
		for (int i = 0; i < executorCount; i++) {
			this.executors.add(new Executor(this.table, this.runs, record, this.net + (50 + i), EXECUTOR_PORT,
					"zone-" + i % 3, "r" + i / 4, cpu, recordsRuns, keepsId));
		}
		for (int i = 0; i < hostCount; i++) {
			this.hosts.add(new Host("frontend-" + (i + 1), this.net + (10 + i), "zone-" + i % 3,
					platform + ":" + PLATFORM_PORT, this.folder, record));
		}
		this.client = new Client(this.hosts, record);
	}

	// No queue of these deployments asks for advice.
	private static Answer advice(byte[] body) throws IOException {
		ObjectNode answer = Web.object();
		ArrayNode allowed = answer.putArray("allowed_workers");
		for (JsonNode worker : Web.JSON.readTree(body).path("workers")) {
			allowed.addArray().add(worker.asText()).add("ticket");
		}
		return new Answer(200, answer);
	}

	private static String freeNet() throws IOException {
		for (int i = 0; i < 100; i++) {
			ThreadLocalRandom random = ThreadLocalRandom.current();
			String net = "127.%d.%d.".formatted(random.nextInt(2, 250), random.nextInt(2, 250));
			try (ServerSocket probe = new ServerSocket(PLATFORM_PORT, 1, InetAddress.getByName(net + "1"))) {
				return net;
			}
			catch (IOException ex) {
				// In use.
			}
		}
		throw new IOException("no free loopback addresses");
	}

	/** The cores of all executors, in thousandths. */
	int cpu() {
		return this.cpu;
	}

	/** Whether the case is played with its disturbance. */
	static boolean hasTrouble() {
		return !"0".equals(System.getenv("TROUBLE"));
	}

	/**
	 * Runs a case and ends this process.
	 * @param arguments the folder of the case
	 */
	static void run(String[] arguments, int hosts, int executors, int cpu, boolean recordsRuns, Case played) {
		run(arguments, hosts, executors, cpu, recordsRuns, false, played);
	}

	/**
	 * Runs a case, whose executors may keep their ids when they start again, and ends this
	 * process.
	 */
	static void run(String[] arguments, int hosts, int executors, int cpu, boolean recordsRuns, boolean keepsId,
			Case played) {
		int code = NOT_RUN;
		try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
			record.tell("case", "disturbance: " + (hasTrouble() ? "on" : "off"));
			try (Cell cell = new Cell(record, hosts, executors, cpu, recordsRuns, keepsId)) {
				Thread closing = new Thread(cell::close);
				Runtime.getRuntime().addShutdownHook(closing);
				TIMER.schedule(() -> {
					record.tell("case", "takes too long");
					cell.close();
					Runtime.getRuntime().halt(NOT_RUN);
				}, MAX_SECONDS, TimeUnit.SECONDS);
				cell.start();
				List<String> broken = played.play(cell);
				broken.stream().limit(20).forEach((line) -> record.tell("broken", line));
				record.tell("case", broken.isEmpty() ? "the rule held" : "the rule was broken, " + broken.size() + " times");
				code = broken.isEmpty() ? HELD : BROKEN;
				cell.hosts.forEach((host) -> host.logLines("\"event\":\"OwnershipTaken\"")
					.forEach((line) -> record.write(host.name() + " log", line)));
				Runtime.getRuntime().removeShutdownHook(closing);
			}
			catch (Exception ex) {
				record.tell("case", "could not run: " + ex);
			}
		}
		// Stand-ins may still have threads.
		Runtime.getRuntime().halt(code);
	}

	private void start() throws IOException, InterruptedException {
		for (Host host : this.hosts) {
			host.start();
		}
		awaitReady(30);
		// Traffic starts 15 s after the machines in the sheets; here a job that is done shows that all work.
		String id = Client.newId();
		if (!this.client.submit(id, job(2, 100, 100), true) || !awaitState(id, "completed", 15)) {
			throw new IOException("a first job is not done");
		}
		this.record.tell("case", "the deployment is up");
	}

	void awaitReady(long seconds) throws IOException, InterruptedException {
		double end = this.record.seconds() + seconds;
		while (!this.hosts.stream().allMatch(Host::isReady)) {
			if (this.record.seconds() > end) {
				throw new IOException("the hosts are not ready");
			}
			Thread.sleep(100);
		}
	}

	boolean awaitState(String id, String state, long seconds) throws InterruptedException {
		double end = this.record.seconds() + seconds;
		while (!this.client.state(id).equals(state)) {
			if (this.record.seconds() > end) {
				return false;
			}
			Thread.sleep(100);
		}
		return true;
	}

	/** The body of a job with one step. */
	static String job(int tasks, int cpu, long millis) {
		return "{\"spec\":\"%d\",\"steps\":[{\"count\":%d,\"cpu\":%d,\"mem_mb\":8,\"estimate_ms\":%d}]}".formatted(millis,
				tasks, cpu, millis);
	}

	@Override
	public synchronized void close() {
		this.hosts.forEach(Host::close);
		try (Stream<Path> files = Files.walk(this.folder)) {
			String keep = System.getenv("KEEP_LOGS");
			if (keep == null) {
				files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
			}
			else {
				System.out.println("logs: " + this.folder);
			}
		}
		catch (IOException ex) {
			System.err.println("cannot delete " + this.folder + ": " + ex.getMessage());
		}
	}

	/** A case, which returns one line for each time that the rule was broken. */
	interface Case {

		List<String> play(Cell cell) throws Exception;

	}

}
