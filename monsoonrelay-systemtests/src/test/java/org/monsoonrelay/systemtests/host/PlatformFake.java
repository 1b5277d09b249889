package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import org.monsoonrelay.model.host.HostAddress;

/**
 * The platform: table, eligibility service and workers, at one address for all hosts or,
 * so that paths can be cut, at one for each host. Thread-safe.
 */
final class PlatformFake implements AutoCloseable {

	/** The queue that callers use, and their name of the host. */
	static final String QUEUE = "soak";

	private static final ObjectMapper JSON = new ObjectMapper();

	/** Connections that wait while all hosts start together. */
	private static final int BACKLOG = 1024;

	private static final int OTHER_INSTANCE = 421;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final String INSTANCE_HEADER = "X-Monsoonrelay-Expect-Instance";

	private static final int REMAINING_MILLIS = 600_000;

	private final TableFake table = new TableFake();

	private final Map<String, WorkerFake> workers = new ConcurrentHashMap<>();

	private final WorkerCrashes crashes;

	private final RestartedId restartedId;

	private final PlatformForm form;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final PathCuts cuts = new PathCuts();

	private final TaskRuns runs = new TaskRuns();

	private final Map<String, String> entries = new ConcurrentHashMap<>();

	private final Map<Integer, String> hostsByPort = new ConcurrentHashMap<>();

	private final List<HttpServer> servers = new ArrayList<>();

	private final HostViews views;

	private volatile boolean refusingReads;

	private final String ip;

	private final int port;

	PlatformFake(String ip, int port, int workerCount) {
		this(ip, port, workerCount, RestartedId.NEW, PlatformForm.calm());
	}

	PlatformFake(String ip, int port, int workerCount, RestartedId restartedId, PlatformForm form) {
		this.restartedId = restartedId;
		this.form = form;
		form.table().executeLateWith(this.timer);
		this.ip = ip;
		this.port = port;
		this.views = new HostViews(ip, port);
		put("op", "config", SoakConfiguration.plain(1, form));
		GangFake gangs = new GangFake(this.timer);
		this.crashes = new WorkerCrashes(this.workers, this.timer);
		for (int i = 0; i < workerCount; i++) {
			addWorker("w" + i, gangs, """
					{"service": "soak", "address": "%s:%d", "zone": "d%d", "state": "ready", "labels": ["r%d"],
					 "capacity": {"cpu": 16000, "mem_mb": 64000, "gpu": 0}, "born": %%d}""".formatted(ip, port, i % 2,
					i / 4));
		}
		listen(port);
	}

	private void listen(int port) {
		try {
			HttpServer server = HttpServer.create(new InetSocketAddress(this.ip, port), BACKLOG);
			server.setExecutor(this.threads);
			server.createContext("/", this::handle);
			server.start();
			this.servers.add(server);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Listen for one host, which is then told of no other address.
	 * @param host the host's name
	 * @return the address for its settings
	 */
	String listenFor(String host) {
		int own = this.port + this.servers.size();
		this.hostsByPort.put(own, host);
		listen(own);
		return this.ip + ":" + own;
	}

	/**
	 * Listen for a relay, whose clients are then told of no other address.
	 * @param relayIp where the relay listens
	 * @return the address to which it forwards, with the port at which it listens
	 */
	HostAddress listenForRelay(String relayIp) {
		return relayTo(relayIp, listenFor("relay"));
	}

	/**
	 * Listen for a relay of one host, which sees other hosts where their paths begin.
	 * @param relayIp where the relay listens
	 * @param host the host's name
	 * @param peers the paths between hosts
	 * @return the address to which it forwards, with the port at which it listens
	 */
	HostAddress listenForRelay(String relayIp, String host, PeerPaths peers) {
		HostAddress own = relayTo(relayIp, listenFor(host));
		this.views.addPeerView(own.port(), (text) -> peers.seenBy(host, text));
		return own;
	}

	private HostAddress relayTo(String relayIp, String address) {
		HostAddress own = HostAddress.parse(address);
		this.views.addRelay(own.port(), relayIp);
		return own;
	}

	private void addWorker(String id, GangFake gangs, String entry) {
		WorkerFake worker = new WorkerFake(id, this.timer, gangs, this.runs, this.form.reports());
		this.workers.put(id, worker);
		this.entries.put(id, entry.formatted(worker.startedMillis()));
		put(HostViews.WORKERS, id, this.entries.get(id));
		this.crashes.onRestart(id, () -> restartWorker(id, gangs, entry));
	}

	private void restartWorker(String id, GangFake gangs, String entry) {
		if (this.restartedId == RestartedId.SAME) {
			addWorker(id, gangs, entry);
			return;
		}
		this.crashes.markReplaced(id);
		this.table.put(HostViews.WORKERS, id, null);
		addWorker(id + "x", gangs, entry);
	}

	/** The id of a worker that restarts. */
	enum RestartedId {

		/** Another one than before. */
		NEW,

		/** That which it had. */
		SAME

	}

	/**
	 * Worker crashes that jobs cause.
	 * @return the crashes
	 */
	WorkerCrashes crashes() {
		return this.crashes;
	}

	/**
	 * Cuts of paths from hosts that have an address of their own.
	 * @return the cuts
	 */
	PathCuts cuts() {
		return this.cuts;
	}

	/**
	 * All runs and the faults among them.
	 * @return the runs
	 */
	TaskRuns runs() {
		return this.runs;
	}

	/**
	 * Workers of a failure domain.
	 * @param failureDomain its number
	 * @return their ids
	 */
	Set<String> workersIn(int failureDomain) {
		return this.entries.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().contains("\"zone\": \"d" + failureDomain + '"'))
			.map(Map.Entry::getKey)
			.collect(Collectors.toSet());
	}

	/**
	 * Let a worker announce that it will leave, which it never does.
	 * @param id the worker's id
	 */
	void drain(String id) {
		String draining = "\"draining\", \"remaining_ms\": " + REMAINING_MILLIS;
		put(HostViews.WORKERS, id, this.entries.compute(id, (known, entry) -> entry.replace("\"ready\"", draining)));
	}

	/**
	 * Change the configuration: the route of the previous version is dropped, a route of
	 * the new one is added.
	 * @param version the new version, at least 2
	 */
	void configure(int version) {
		put("op", "config", SoakConfiguration.added(version, this.form));
	}

	/**
	 * Change the configuration to one customer.
	 * @param version the new version
	 * @param keys the customer's keys
	 */
	void configureKeys(int version, List<String> keys) {
		put("op", "config", SoakConfiguration.keyed(version, this.form, keys));
	}

	/**
	 * Refuse reads of the table, or answer them again.
	 * @param refusing whether to refuse them
	 */
	void refuseReads(boolean refusing) {
		this.refusingReads = refusing;
	}

	/**
	 * Show writes to the table late to calls for changes, in any order.
	 * @param longestMillis the longest delay, 0 for none
	 */
	void showChangesLate(long longestMillis) {
		this.table.showChangesLate(longestMillis);
	}

	/**
	 * Lose the table's history of changes up to now.
	 */
	void loseHistory() {
		this.table.loseHistory();
	}

	/**
	 * Path of the route that a version adds.
	 * @param version the version
	 * @return the path
	 */
	static String addedPath(int version) {
		return "/added-" + version + "/";
	}

	private void put(String name, String key, String value) {
		this.table.put(name, key, HostViews.encode(value));
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			long arrivedNanos = System.nanoTime();
			String host = this.hostsByPort.getOrDefault(exchange.getLocalAddress().getPort(), "");
			String target = target(exchange);
			boolean isCutOff = this.cuts.wasCutSince(host, target, arrivedNanos);
			Answer answer = isCutOff ? null : answer(exchange);
			if (this.cuts.wasCutSince(host, target, arrivedNanos)) {
				this.cuts.awaitEnd(host, target);
				return;
			}
			if (answer == null) {
				// A crashed worker or a lost answer: the connection is closed.
				return;
			}
			byte[] body = JSON.writeValueAsBytes(answer.body());
			exchange.sendResponseHeaders(answer.code(), body.length);
			exchange.getResponseBody().write(body);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String target(HttpExchange exchange) {
		String worker = exchange.getRequestHeaders().getFirst(INSTANCE_HEADER);
		boolean isTable = exchange.getRequestURI().getPath().startsWith("/api/rows-");
		return (worker != null) ? worker : isTable ? PathCuts.TABLE : "";
	}

	private Answer answer(HttpExchange exchange) throws IOException, InterruptedException {
		Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
		JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
		String id = exchange.getRequestHeaders().getFirst(INSTANCE_HEADER);
		WorkerFake worker = (id != null) ? this.workers.get(id) : null;
		if (id != null && worker == null) {
			return this.crashes.isReplaced(id) ? new Answer(OTHER_INSTANCE, Map.of()) : null;
		}
		Answer answer = answer(exchange, query, body, worker);
		if (worker != null) {
			this.crashes.answered(id, exchange.getRequestURI().getPath(), body, answer.code());
			return (this.workers.get(id) == worker) ? answer : null;
		}
		return answer;
	}

	private Answer answer(HttpExchange exchange, Map<String, String> query, JsonNode body, WorkerFake worker)
			throws InterruptedException {
		if (this.refusingReads && exchange.getRequestMethod().equals("GET")) {
			return new Answer(TOO_MANY_REQUESTS, Map.of());
		}
		return switch (exchange.getRequestURI().getPath()) {
			case "/api/rows-tx" -> forHost(exchange, this.form.table().commit(this.table, body));
			case "/api/rows-get" -> forHost(exchange, this.form.table().read(this.table, query));
			case "/api/rows-feed" -> forHost(exchange, this.form.table().changes(this.table, query));
			case "/api/advise" -> allowed(body);
			case "/api/run-start" -> worker.start(body);
			case "/api/run-stop" -> worker.stop(body);
			case "/api/hold" -> underWay(worker.look(body));
			default -> new Answer(404, Map.of());
		};
	}

	private Answer forHost(HttpExchange exchange, Answer answer) {
		return this.views.seenAt(exchange.getLocalAddress().getPort(), answer);
	}

	private Answer underWay(Answer report) throws InterruptedException {
		TimeUnit.MILLISECONDS.sleep(this.form.reportMillis());
		return report;
	}

	private static Map<String, String> query(String raw) {
		Map<String, String> values = new HashMap<>();
		for (String pair : (raw != null) ? raw.split("&") : new String[0]) {
			int equals = pair.indexOf('=');
			values.put(pair.substring(0, equals),
					URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return values;
	}

	private static Answer allowed(JsonNode question) {
		List<List<String>> tickets = new ArrayList<>();
		question.path("workers").forEach((worker) -> tickets.add(List.of(worker.asText(), "ticket")));
		return new Answer(200, Map.of("allowed_workers", tickets));
	}

	/**
	 * How often each task was done.
	 * @return the counts, by name
	 */
	Map<String, Integer> done() {
		Map<String, Integer> counts = new HashMap<>();
		Stream.concat(this.workers.values().stream(), this.crashes.crashed().stream())
			.forEach((worker) -> worker.done().forEach((task) -> counts.merge(task, 1, Integer::sum)));
		return counts;
	}

	/**
	 * Whether a task of a job was ever begun.
	 * @param job the job's id
	 * @return {@code true} if so
	 */
	boolean hasBegun(String job) {
		return this.workers.values()
			.stream()
			.anyMatch((worker) -> worker.begun().stream().anyMatch((task) -> task.startsWith(job + ".")));
	}

	@Override
	public void close() {
		this.cuts.close();
		this.servers.forEach((server) -> server.stop(0));
		this.threads.shutdownNow();
		this.timer.shutdownNow();
	}

}
