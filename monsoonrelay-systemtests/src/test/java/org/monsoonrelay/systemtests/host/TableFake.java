package org.monsoonrelay.systemtests.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The platform's table in memory. Invariant: a write takes effect whole and only while
 * its conditions hold. Thread-safe.
 */
final class TableFake {

	private static final int HISTORY_LOST = 410;

	private final Map<Name, Row> rows = new TreeMap<>();

	private long version;

	private long oldestHistory;

	/**
	 * Lose the history of changes up to now.
	 */
	synchronized void loseHistory() {
		this.oldestHistory = this.version;
		notifyAll();
	}

	synchronized void put(String table, String key, String value) {
		this.version++;
		store(new Name(table, "", key), value);
		notifyAll();
	}

	private void store(Name name, String value) {
		this.rows.put(name, new Row(name.table(), name.part(), name.key(), value, this.version, value == null));
	}

	/**
	 * Carry a write out.
	 * @param write conditions, rows to write and rows to remove
	 * @return the answer, with the present rows if a condition does not hold
	 */
	synchronized Answer commit(JsonNode write) {
		List<Row> current = new ArrayList<>();
		boolean holds = true;
		for (JsonNode condition : write.path("expected_revision")) {
			Row row = this.rows.get(Name.of(condition));
			boolean exists = row != null && !row.deleted();
			holds &= condition.path("ver").asLong() == (exists ? row.ver() : 0);
			if (exists) {
				current.add(row);
			}
		}
		if (!holds) {
			return new Answer(412, new Rows(current, false, this.version));
		}
		this.version++;
		write.path("puts").forEach((put) -> store(Name.of(put), put.path("value").asText()));
		write.path("remove").forEach((name) -> store(Name.of(name), null));
		notifyAll();
		return new Answer(200, new Rows(List.of(), false, this.version));
	}

	synchronized Answer read(String table, String part, String from, int limit) {
		List<Row> found = this.rows.values()
			.stream()
			.filter((row) -> row.table().equals(table) && row.part().equals(part) && !row.deleted())
			.filter((row) -> row.key().compareTo(from) >= 0)
			.toList();
		boolean isCut = found.size() > limit;
		return new Answer(200, new Rows(isCut ? found.subList(0, limit) : found, isCut, this.version));
	}

	synchronized Answer changes(String table, long after, long waitMillis) throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		List<Row> newer = newer(table, after);
		while (newer.isEmpty() && after >= this.oldestHistory && System.nanoTime() - end < 0) {
			TimeUnit.NANOSECONDS.timedWait(this, Math.max(1_000_000, end - System.nanoTime()));
			newer = newer(table, after);
		}
		if (after < this.oldestHistory) {
			return new Answer(HISTORY_LOST, Map.of());
		}
		return new Answer(200, new Rows(newer, false, this.version));
	}

	private List<Row> newer(String table, long after) {
		return this.rows.values()
			.stream()
			.filter((row) -> row.table().equals(table) && row.ver() > after)
			.sorted((one, other) -> Long.compare(one.ver(), other.ver()))
			.toList();
	}

	/** Name of a row. */
	private record Name(String table, String part, String key) implements Comparable<Name> {

		static Name of(JsonNode row) {
			return new Name(row.path("table").asText(), row.path("part").asText(), row.path("key").asText());
		}

		@Override
		public int compareTo(Name other) {
			return (this.table + '\n' + this.part + '\n' + this.key)
				.compareTo(other.table + '\n' + other.part + '\n' + other.key);
		}

	}

	/** A row as it travels. */
	record Row(String table, String part, String key, String value, long ver, boolean deleted) {

	}

	/** Rows as they travel. */
	record Rows(Collection<Row> rows, boolean truncated, long ver) {

		Rows withValues(Function<Row, String> value) {
			List<Row> changed = this.rows.stream()
				.map((row) -> new Row(row.table(), row.part(), row.key(), value.apply(row), row.ver(), row.deleted()))
				.toList();
			return new Rows(changed, this.truncated, this.ver);
		}

	}

}
