package second;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * The platform's store: rows, transactions and the feed, at one address for each machine
 * so that it can turn a single machine away. A transaction takes effect whole and only
 * while its conditions hold; nothing that was acknowledged is lost.
 */
final class Store implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int PAGE_ROWS = 500;

	private static final long TRANSACTION_MILLIS = 5;

	/** The store carries a write out at most so long after it has lost the answer. */
	private static final long LATE_MILLIS = 6000;

	private static final long SILENCE_MILLIS = 15_000;

	/** What becomes of a write. */
	enum Fate {

		SERVED, DONE_WITHOUT_ANSWER, DONE_LATE, REFUSED

	}

	/** Decides what becomes of the writes of a machine. */
	interface Trouble {

		Fate fate(String machine, String part, String keys);

	}

	private record Name(String table, String part, String key) implements Comparable<Name> {

		static Name of(JsonNode node) {
			return new Name(node.path("table").asText(), node.path("part").asText(), node.path("key").asText());
		}

		@Override
		public int compareTo(Name other) {
			return text().compareTo(other.text());
		}

		private String text() {
			return this.table + '\u0000' + this.part + '\u0000' + this.key;
		}

	}

	private record Row(Name name, String value, long ver) {

		Map<String, Object> toWire() {
			Map<String, Object> wire = new LinkedHashMap<>();
			wire.put("table", this.name.table());
			wire.put("part", this.name.part());
			wire.put("key", this.name.key());
			wire.put("ver", this.ver);
			if (this.value != null) {
				wire.put("value", this.value);
			}
			else {
				wire.put("deleted", true);
			}
			return wire;
		}

	}

	private final Map<Name, Row> rows = new TreeMap<>();

	private final TreeMap<Long, List<Row>> changes = new TreeMap<>();

	private final Map<String, Object> partLocks = new HashMap<>();

	private final List<HttpServer> servers = new ArrayList<>();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final Record record;

	private volatile Trouble trouble = (machine, part, keys) -> Fate.SERVED;

	private volatile String lastConditionalWriter = "";

	private long ver;

	Store(Record record) {
		this.record = record;
	}

	/** Opens an address for one machine. */
	String listenFor(String machine, String ip) {
		try {
			HttpServer server = HttpServer.create(new InetSocketAddress(ip, 0), 1024);
			server.setExecutor(this.threads);
			server.createContext("/", (exchange) -> handle(machine, exchange));
			server.start();
			this.servers.add(server);
			return ip + ":" + server.getAddress().getPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	void trouble(Trouble next) {
		this.trouble = next;
	}

	/** The machine that last wrote to the pool's part under a condition. */
	String lastConditionalWriter() {
		return this.lastConditionalWriter;
	}

	synchronized void put(String table, String key, String text) {
		this.ver++;
		store(new Name(table, "", key),
				(text != null) ? Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)) : null);
		notifyAll();
	}

	private void store(Name name, String value) {
		Row row = new Row(name, value, this.ver);
		if (value != null) {
			this.rows.put(name, row);
		}
		else {
			this.rows.remove(name);
		}
		this.changes.computeIfAbsent(this.ver, (key) -> new ArrayList<>()).add(row);
	}

	/** The value of a row as text, empty if there is none. */
	synchronized String text(String table, String part, String key) {
		Row row = this.rows.get(new Name(table, part, key));
		return (row != null) ? new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8) : "";
	}

	private void handle(String machine, HttpExchange exchange) throws IOException {
		try {
			Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
			JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
			switch (exchange.getRequestURI().getPath()) {
				case "/api/rows-tx" -> write(machine, exchange, body);
				case "/api/rows-get" -> answer(exchange, 200, read(query));
				case "/api/rows-feed" -> answer(exchange, 200, feed(query));
				case "/api/advise" -> answer(exchange, 200, Map.of("allowed_workers", List.of()));
				default -> answer(exchange, 404, Map.of());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			exchange.close();
		}
	}

	private void write(String machine, HttpExchange exchange, JsonNode body) throws IOException, InterruptedException {
		String part = partOf(body);
		Fate fate = this.trouble.fate(machine, part, names(body));
		if (fate == Fate.REFUSED) {
			this.record.line("store", "503 to a write of " + machine + " to part '" + part + "', nothing done");
			answer(exchange, 503, Map.of());
			return;
		}
		if (fate == Fate.DONE_LATE) {
			this.record.line("store", "no answer to a write of " + machine + ", to be done in " + LATE_MILLIS
					+ " ms if its condition still holds, rows " + names(body));
			Thread.sleep(LATE_MILLIS);
			boolean isLateDone = !commit(body).containsKey("conflict");
			this.record.line("store", "the late write of " + machine + (isLateDone ? " is done, rows " : " finds its "
					+ "condition broken, rows ") + names(body));
			return;
		}
		Object lock;
		synchronized (this) {
			lock = this.partLocks.computeIfAbsent(part, (key) -> new Object());
		}
		Map<String, Object> done;
		synchronized (lock) {
			Thread.sleep(TRANSACTION_MILLIS);
			done = commit(body);
		}
		boolean isDone = !done.containsKey("conflict");
		done.remove("conflict");
		if (part.equals("pool") && isDone) {
			this.lastConditionalWriter = machine;
		}
		if (fate == Fate.DONE_WITHOUT_ANSWER) {
			this.record.line("store", "no answer to a write of " + machine + " to part '" + part + "', "
					+ (isDone ? "done as ver " + done.get("ver") : "its condition did not hold") + ", rows "
					+ names(body));
			Thread.sleep(SILENCE_MILLIS);
			return;
		}
		if (!isDone && part.equals("pool")) {
			this.record.line("store", "412 to a write of " + machine + " to part 'pool', rows " + names(body));
		}
		answer(exchange, isDone ? 200 : 412, done);
	}

	private static String names(JsonNode body) {
		List<String> names = new ArrayList<>();
		body.path("puts").forEach((put) -> names.add(put.path("table").asText() + "/" + put.path("key").asText()));
		return names.toString();
	}

	private static String partOf(JsonNode body) {
		for (String field : List.of("puts", "expected_revision", "remove")) {
			for (JsonNode entry : body.path(field)) {
				return entry.path("part").asText();
			}
		}
		return "";
	}

	private synchronized Map<String, Object> commit(JsonNode body) {
		List<Object> current = new ArrayList<>();
		boolean holds = true;
		for (JsonNode condition : body.path("expected_revision")) {
			Row row = this.rows.get(Name.of(condition));
			holds &= condition.path("ver").asLong() == ((row != null) ? row.ver() : 0);
			if (row != null) {
				current.add(row.toWire());
			}
		}
		Map<String, Object> answer = new HashMap<>();
		if (!holds) {
			answer.put("conflict", true);
			answer.put("rows", current);
		}
		else {
			this.ver++;
			body.path("puts").forEach((put) -> store(Name.of(put), put.path("value").asText()));
			body.path("remove").forEach((name) -> store(Name.of(name), null));
			notifyAll();
		}
		answer.put("ver", this.ver);
		answer.put("now_ms", System.nanoTime() / 1_000_000);
		return answer;
	}

	private synchronized Map<String, Object> read(Map<String, String> query) {
		int limit = Math.min(PAGE_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + PAGE_ROWS)));
		String from = query.getOrDefault("from", "");
		String to = query.get("to");
		List<Object> found = new ArrayList<>();
		boolean truncated = false;
		for (Row row : this.rows.values()) {
			Name name = row.name();
			if (!name.table().equals(query.get("table")) || !name.part().equals(query.getOrDefault("part", ""))
					|| name.key().compareTo(from) < 0 || (to != null && name.key().compareTo(to) >= 0)) {
				continue;
			}
			if (found.size() == limit) {
				truncated = true;
				break;
			}
			found.add(row.toWire());
		}
		return Map.of("rows", found, "truncated", truncated, "ver", this.ver, "now_ms",
				System.nanoTime() / 1_000_000);
	}

	private synchronized Map<String, Object> feed(Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.getOrDefault("depends_on", "0"));
		long endNanos = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		List<Object> newer = newer(query.get("table"), after);
		while (newer.isEmpty() && System.nanoTime() - endNanos < 0) {
			wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
			newer = newer(query.get("table"), after);
		}
		return Map.of("rows", newer, "ver", this.ver, "now_ms", System.nanoTime() / 1_000_000);
	}

	private List<Object> newer(String table, long after) {
		List<Object> found = new ArrayList<>();
		this.changes.tailMap(after, false)
			.values()
			.forEach((changed) -> changed.stream()
				.filter((row) -> row.name().table().equals(table))
				.forEach((row) -> found.add(row.toWire())));
		return found;
	}

	private static void answer(HttpExchange exchange, int code, Object body) throws IOException {
		byte[] bytes = JSON.writeValueAsBytes(body);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(code, bytes.length);
		exchange.getResponseBody().write(bytes);
	}

	private static Map<String, String> query(String raw) {
		Map<String, String> values = new HashMap<>();
		for (String pair : (raw != null && !raw.isEmpty()) ? raw.split("&") : new String[0]) {
			int equals = pair.indexOf('=');
			values.put(pair.substring(0, equals),
					URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return values;
	}

	@Override
	public void close() {
		this.servers.forEach((server) -> server.stop(0));
		this.threads.shutdownNow();
	}

}
