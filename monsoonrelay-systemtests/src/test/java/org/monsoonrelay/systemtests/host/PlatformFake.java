package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform at one address: table, eligibility service and workers. Thread-safe.
 */
final class PlatformFake implements AutoCloseable {

	/** The queue that callers use, and their name of the host. */
	static final String QUEUE = "soak";

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int OTHER_INSTANCE = 421;

	private static final String CONFIGURATION = """
			{"version": 1, "services": [{"name": "soak", "enforces_capacity": false}],
			 "routes": [{"name": "soak", "host": "soak", "path_prefix": "/soak/", "timeout_ms": 3000,
			  "target_latency_ms": 1000, "priority": 0, "service": "soak", "max_attempts": 3, "slack_factor": 2,
			  "advice": {"decide_ms": 1, "period_ms": 0.1, "valid_ms": 2000}}]}""";

	private final TableFake table = new TableFake();

	private final Map<String, WorkerFake> workers = new ConcurrentHashMap<>();

	private final WorkerCrashes crashes;

	private final RestartedId restartedId;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final HttpServer server;

	PlatformFake(String ip, int port, int workerCount) {
		this(ip, port, workerCount, RestartedId.NEW);
	}

	PlatformFake(String ip, int port, int workerCount, RestartedId restartedId) {
		this.restartedId = restartedId;
		try {
			this.server = HttpServer.create(new InetSocketAddress(ip, port), 0);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		put("op", "config", CONFIGURATION);
		GangFake gangs = new GangFake(this.timer);
		this.crashes = new WorkerCrashes(this.workers, this.timer);
		for (int i = 0; i < workerCount; i++) {
			addWorker("w" + i, gangs, """
					{"service": "soak", "address": "%s:%d", "zone": "d%d", "state": "ready", "labels": ["r%d"],
					 "capacity": {"cpu": 16000, "mem_mb": 64000, "gpu": 0}, "born": %%d}""".formatted(ip, port, i % 2,
					i / 4));
		}
		this.server.setExecutor(this.threads);
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	private void addWorker(String id, GangFake gangs, String entry) {
		WorkerFake worker = new WorkerFake(this.timer, gangs);
		this.workers.put(id, worker);
		put("servers", id, entry.formatted(worker.startedMillis()));
		this.crashes.onRestart(id, () -> restartWorker(id, gangs, entry));
	}

	private void restartWorker(String id, GangFake gangs, String entry) {
		if (this.restartedId == RestartedId.SAME) {
			addWorker(id, gangs, entry);
			return;
		}
		this.crashes.markReplaced(id);
		this.table.put("servers", id, null);
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

	private void put(String name, String key, String value) {
		this.table.put(name, key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
	}

	private void handle(HttpExchange exchange) throws IOException {
		try (exchange) {
			Answer answer = answer(exchange);
			if (answer == null) {
				// A crashed worker: the connection is closed without a response.
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

	private Answer answer(HttpExchange exchange) throws IOException, InterruptedException {
		Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
		JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
		String id = exchange.getRequestHeaders().getFirst("X-Monsoonrelay-Expect-Instance");
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
		return switch (exchange.getRequestURI().getPath()) {
			case "/api/rows-tx" -> this.table.commit(body);
			case "/api/rows-get" -> this.table.read(query.get("table"), query.get("part"),
					query.getOrDefault("from", ""), Integer.parseInt(query.get("limit")));
			case "/api/rows-feed" -> this.table.changes(query.get("table"), Long.parseLong(query.get("depends_on")),
					Long.parseLong(query.get("wait_ms")));
			case "/api/advise" -> allowed(body);
			case "/api/run-start" -> worker.start(body);
			case "/api/run-stop" -> worker.stop(body);
			case "/api/hold" -> worker.look(body);
			default -> new Answer(404, Map.of());
		};
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
		this.server.stop(0);
		this.threads.shutdownNow();
		this.timer.shutdownNow();
	}

}
