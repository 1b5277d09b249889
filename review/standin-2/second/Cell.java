package second;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback addresses: store, executors and machines. */
final class Cell implements AutoCloseable {

	static final String SERVICE = "salon-core";

	private final Path folder;

	private final String net;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);

	final Record record;

	final Store store;

	final Runs runs;

	final Client client;

	final List<Host> hosts = new ArrayList<>();

	final List<Executor> executors = new ArrayList<>();

	private final int processors;

	private long sequence;

	Cell(Path recordFile, int hostCount, int executorCount, int processors) throws IOException {
		this.processors = processors;
		this.folder = Files.createTempDirectory("review-cell");
		this.record = new Record(recordFile);
		this.net = freeNet();
		this.store = new Store(this.record);
		this.runs = new Runs(this.record);
		this.client = new Client(this.record, "/confirm/");
		this.store.put("op", "config", """
				{"version":3,"routes":[{"name":"confirm","host":"%s","path_prefix":"/confirm/","timeout_ms":3000,\
				"service":"%s","priority":0,"max_attempts":3,"slack_factor":3.0,"target_latency_ms":250}],\
				"services":[{"name":"%s","enforces_capacity":false}],"limits":{}}""".formatted(Client.HOST, SERVICE,
				SERVICE));
		for (int i = 0; i < executorCount; i++) {
			addExecutor();
		}
		this.timer.scheduleWithFixedDelay(this::beat, 1500, 1500, TimeUnit.MILLISECONDS);
		for (int i = 0; i < hostCount; i++) {
			String ip = this.net + (11 + i);
			this.hosts.add(new Host("host-" + (char) ('a' + i), "zone-" + i, ip,
					this.store.listenFor("host-" + (char) ('a' + i), this.net + "2"), this.folder));
		}
	}

	private static String freeNet() throws IOException {
		Random random = new Random();
		for (int i = 0; i < 100; i++) {
			String net = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(new InetSocketAddress(net + "11", 9464));
				return net;
			}
			catch (IOException ex) {
				// Taken by another run.
			}
		}
		throw new IOException("no free addresses");
	}

	synchronized void addExecutor() {
		int number = this.executors.size();
		Executor executor = new Executor("executor-" + number, this.net + (101 + number), this.runs, this.timer);
		this.executors.add(executor);
		register(executor);
	}

	private void register(Executor executor) {
		this.store.put("servers", executor.id(),
				executor.entry(SERVICE, "zone-" + this.executors.indexOf(executor) % 2, this.processors,
						++this.sequence));
	}

	private synchronized void beat() {
		this.executors.forEach(this::register);
	}

	/** Starts the machines and waits until all are ready. */
	boolean start() throws InterruptedException {
		this.hosts.forEach(Host::start);
		for (int i = 0; i < 300; i++) {
			if (this.hosts.stream().allMatch(Host::isReady) && !this.store.lastConditionalWriter().isEmpty()) {
				this.record.line("cell", "all machines are ready, " + this.store.lastConditionalWriter()
						+ " wrote last under a condition");
				return true;
			}
			Thread.sleep(100);
		}
		return false;
	}

	Host host(String name) {
		return this.hosts.stream().filter((host) -> host.name().equals(name)).findFirst().orElseThrow();
	}

	Host other(String name) {
		return this.hosts.stream()
			.filter((host) -> !host.name().equals(name) && host.isAlive())
			.findFirst()
			.orElseThrow();
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.hosts.forEach(Host::kill);
		this.executors.forEach(Executor::close);
		this.store.close();
		try {
			String keep = System.getenv("KEEP_LOGS");
			if (keep != null && !keep.isEmpty()) {
				for (Host host : this.hosts) {
					Files.copy(this.folder.resolve(host.name() + ".log"), Path.of(keep, host.name() + ".log"),
							java.nio.file.StandardCopyOption.REPLACE_EXISTING);
				}
			}
			try (var files = Files.list(this.folder)) {
				for (Path file : files.toList()) {
					Files.delete(file);
				}
			}
			Files.delete(this.folder);
		}
		catch (IOException ex) {
			this.record.line("cell", "not cleaned up: " + ex.getMessage());
		}
		this.record.close();
	}

}
