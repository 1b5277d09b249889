package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The platform's store of rows, as PROTOCOL describes it, without rates. It keeps all of
 * its history. Limits on calls and rows are enforced; the size of a value is that of its
 * decoded bytes, which is the reading that refuses least. Thread-safe.
 */
final class Table {

	static final int ROW_BYTES = 65_536;

	private static final int MAX_ENTRIES = 100;

	private static final int MAX_CALL_BYTES = 1_000_000;

	private static final int MAX_ROWS = 500;

	private static final int MAX_PAGE_BYTES = 1_000_000;

	private static final long TRANSACTION_MILLIS = 5;

	private static final long READ_MILLIS = 4;

	/** Versions below this one are free for rows of the past. */
	private static final long FIRST_VERSION = 10_000_000;

	private final Map<String, TreeMap<String, Row>> partitions = new HashMap<>();

	// By table: the newest version of each row by version.
	private final Map<String, TreeMap<Long, List<Row>>> feeds = new HashMap<>();

	private final Map<String, Object> partitionLocks = new ConcurrentHashMap<>();

	private final long startNanos = System.nanoTime();

	private final Record record;

	private long version = FIRST_VERSION;

	private boolean down;

	private int refusedRows;

	Table(Record record) {
		this.record = record;
	}

	/** Sets whether the store answers all calls of the system with 503. */
	synchronized void setDown(boolean isDown) {
		this.down = isDown;
		notifyAll();
	}

	/** Number of writes that were refused because a value was too large. */
	synchronized int refusedRows() {
		return this.refusedRows;
	}

	/** Writes a row for the operator or an executor. */
	synchronized void put(String table, String key, byte[] value) {
		this.version++;
		store(new Row(table, "", key, Base64.getEncoder().encodeToString(value), this.version, false));
		notifyAll();
	}

	synchronized void remove(String table, String key) {
		this.version++;
		store(new Row(table, "", key, null, this.version, true));
		notifyAll();
	}

	/** Adds a row, in base64, that was written before this store started to count versions. */
	synchronized void putPast(String table, String part, String key, String encoded, long version) {
		this.partitions.computeIfAbsent(table + '\n' + part, (name) -> new TreeMap<>())
			.put(key, new Row(table, part, key, encoded, version, false));
	}

	/** Returns the value of a row, which has to be JSON. */
	synchronized JsonNode value(String table, String part, String key) throws IOException {
		Row row = this.partitions.getOrDefault(table + '\n' + part, new TreeMap<>()).get(key);
		if (row == null || row.deleted()) {
			throw new IOException("no row " + table + "/" + part + "/" + key);
		}
		return Web.JSON.readTree(Base64.getDecoder().decode(row.value()));
	}

	private void store(Row row) {
		TreeMap<String, Row> rows = this.partitions.computeIfAbsent(row.table() + '\n' + row.part(),
				(name) -> new TreeMap<>());
		TreeMap<Long, List<Row>> feed = this.feeds.computeIfAbsent(row.table(), (name) -> new TreeMap<>());
		Row former = rows.get(row.key());
		if (former != null && feed.containsKey(former.ver())) {
			feed.get(former.ver()).remove(former);
		}
		rows.put(row.key(), row);
		feed.computeIfAbsent(row.ver(), (ver) -> new ArrayList<>()).add(row);
	}

	/**
	 * Answers a call.
	 * @param path the path of the call
	 * @param query its query
	 * @param body its body
	 */
	Answer answer(String path, Map<String, String> query, byte[] body) throws IOException, InterruptedException {
		synchronized (this) {
			if (this.down) {
				return new Answer(503, Web.object());
			}
		}
		return switch (path) {
			case "/api/rows-tx" -> transaction(body);
			case "/api/rows-get" -> read(query);
			case "/api/rows-feed" -> feed(query);
			case "/api/rows-parts" -> new Answer(200, Web.object());
			default -> new Answer(404, Web.object());
		};
	}

	private Answer transaction(byte[] body) throws IOException, InterruptedException {
		JsonNode call = Web.JSON.readTree(body);
		Set<String> parts = new HashSet<>();
		int entries = 0;
		boolean isTooLarge = body.length > MAX_CALL_BYTES;
		boolean isForbidden = false;
		for (String kind : List.of("expected_revision", "puts", "remove")) {
			for (JsonNode entry : call.path(kind)) {
				entries++;
				parts.add(entry.path("part").asText());
				String table = entry.path("table").asText();
				boolean isWrite = !kind.equals("expected_revision");
				isForbidden |= isWrite && (table.equals("op") || table.equals("servers"));
				if (kind.equals("puts")) {
					int bytes = Base64.getDecoder().decode(entry.path("value").asText()).length;
					if (bytes > ROW_BYTES) {
						isTooLarge = true;
						recordRefusal(entry, bytes);
					}
				}
			}
		}
		if (isForbidden) {
			return new Answer(403, Web.object());
		}
		if (isTooLarge || entries > MAX_ENTRIES || parts.size() > 1) {
			return new Answer(400, Web.object());
		}
		String part = parts.isEmpty() ? "" : parts.iterator().next();
		synchronized (this.partitionLocks.computeIfAbsent(part, (name) -> new Object())) {
			Thread.sleep(TRANSACTION_MILLIS);
			return commit(call);
		}
	}

	private synchronized void recordRefusal(JsonNode entry, int bytes) {
		this.refusedRows++;
		if (this.refusedRows <= 3 || this.refusedRows % 200 == 0) {
			this.record.write("store", "refused write " + this.refusedRows + ": row " + entry.path("table").asText()
					+ "/" + entry.path("key").asText() + " has " + bytes + " bytes, row_bytes is " + ROW_BYTES);
		}
	}

	private synchronized Answer commit(JsonNode call) {
		if (this.down) {
			return new Answer(503, Web.object());
		}
		boolean holds = true;
		ArrayNode current = Web.JSON.createArrayNode();
		for (JsonNode condition : call.path("expected_revision")) {
			Row row = row(condition);
			boolean exists = row != null && !row.deleted();
			holds &= condition.path("ver").asLong() == (exists ? row.ver() : 0);
			if (exists) {
				current.add(row.toJson());
			}
		}
		if (!holds) {
			ObjectNode answer = versions();
			answer.set("rows", current);
			return new Answer(412, answer);
		}
		this.version++;
		for (JsonNode put : call.path("puts")) {
			store(new Row(put.path("table").asText(), put.path("part").asText(), put.path("key").asText(),
					put.path("value").asText(), this.version, false));
		}
		for (JsonNode name : call.path("remove")) {
			if (row(name) != null) {
				store(new Row(name.path("table").asText(), name.path("part").asText(), name.path("key").asText(), null,
						this.version, true));
			}
		}
		notifyAll();
		return new Answer(200, versions());
	}

	private Row row(JsonNode name) {
		TreeMap<String, Row> rows = this.partitions.get(name.path("table").asText() + '\n' + name.path("part").asText());
		return (rows != null) ? rows.get(name.path("key").asText()) : null;
	}

	private ObjectNode versions() {
		return Web.object().put("ver", this.version).put("now_ms", (System.nanoTime() - this.startNanos) / 1_000_000);
	}

	private Answer read(Map<String, String> query) throws InterruptedException {
		Thread.sleep(READ_MILLIS);
		int limit = Math.min(MAX_ROWS, Integer.parseInt(query.getOrDefault("limit", "" + MAX_ROWS)));
		List<Row> found = new ArrayList<>();
		boolean truncated = false;
		ObjectNode answer;
		synchronized (this) {
			answer = versions();
			TreeMap<String, Row> rows = this.partitions.getOrDefault(
					query.get("table") + '\n' + query.getOrDefault("part", ""), new TreeMap<>());
			String to = query.get("to");
			int bytes = 0;
			for (Row row : rows.tailMap(query.getOrDefault("from", ""), true).values()) {
				if (to != null && row.key().compareTo(to) >= 0) {
					break;
				}
				if (row.deleted()) {
					continue;
				}
				if (found.size() >= limit || bytes > MAX_PAGE_BYTES) {
					truncated = true;
					break;
				}
				found.add(row);
				bytes += row.value().length() + 150;
			}
		}
		ArrayNode page = answer.putArray("rows");
		found.forEach((row) -> page.add(row.toJson()));
		answer.put("truncated", truncated);
		return new Answer(200, answer);
	}

	private synchronized Answer feed(Map<String, String> query) throws InterruptedException {
		long after = Long.parseLong(query.getOrDefault("depends_on", "0"));
		long waitMillis = Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
		long end = System.nanoTime() + waitMillis * 1_000_000;
		String table = query.get("table");
		while (true) {
			if (this.down) {
				return new Answer(503, Web.object());
			}
			ObjectNode answer = versions();
			ArrayNode changed = answer.putArray("rows");
			int bytes = 0;
			TreeMap<Long, List<Row>> feed = this.feeds.getOrDefault(table, new TreeMap<>());
			for (Map.Entry<Long, List<Row>> entry : feed.tailMap(after, false).entrySet()) {
				if (changed.size() >= MAX_ROWS || bytes > MAX_PAGE_BYTES) {
					break;
				}
				for (Row row : entry.getValue()) {
					changed.add(row.toJson());
					bytes += (row.deleted() ? 0 : row.value().length()) + 150;
				}
				answer.put("ver", entry.getKey());
			}
			if (!changed.isEmpty()) {
				return new Answer(200, answer);
			}
			long left = end - System.nanoTime();
			if (left <= 0) {
				return new Answer(200, answer);
			}
			wait(Math.max(1, left / 1_000_000));
		}
	}

	/** A row with its value in base64. */
	private record Row(String table, String part, String key, String value, long ver, boolean deleted) {

		ObjectNode toJson() {
			ObjectNode json = Web.object().put("table", this.table).put("part", this.part).put("key", this.key);
			if (this.deleted) {
				return json.put("ver", this.ver).put("deleted", true);
			}
			return json.put("value", this.value).put("ver", this.ver);
		}

	}

}
