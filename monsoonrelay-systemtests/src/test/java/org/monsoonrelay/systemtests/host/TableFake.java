package org.monsoonrelay.systemtests.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The platform's table in memory. Invariant: a write takes effect whole and only while
 * its conditions hold. Thread-safe.
 */
final class TableFake {

	/** In Base64, the stricter way to count the size of a value. */
	private static final int MAX_VALUE_CHARACTERS = 65_536;

	private static final int HISTORY_LOST = 410;

	/** After this time a call that waits looks whether it was given up. */
	private static final long LONGEST_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private static final long SHORTEST_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

	private final Map<Name, Row> rows = new TreeMap<>();

	/** The newest change of each row, by table and version. */
	private final Map<String, TreeMap<Long, Set<Row>>> history = new HashMap<>();

	/** When each version can be seen by calls for changes, in nanoseconds. */
	private final TreeMap<Long, Long> seenFromNanos = new TreeMap<>();

	private final Random random = new Random(0);

	private long longestUnseenMillis;

	private long version;

	private long oldestHistory;

	/**
	 * Lose the history of changes up to now.
	 */
	synchronized void loseHistory() {
		this.oldestHistory = this.version;
		notifyAll();
	}

	/**
	 * Show writes to calls for changes late, in any order, as one that writes partitions
	 * in parallel might. Answers to such calls tell the newest version that can be seen,
	 * although writes with lower versions may not be.
	 * @param longestMillis the longest delay
	 */
	synchronized void showChangesLate(long longestMillis) {
		this.longestUnseenMillis = longestMillis;
	}

	private void nextVersion() {
		this.version++;
		if (this.longestUnseenMillis > 0) {
			long nanos = TimeUnit.MILLISECONDS.toNanos(this.longestUnseenMillis);
			this.seenFromNanos.put(this.version, System.nanoTime() + this.random.nextLong(nanos));
		}
	}

	private boolean isSeen(long ver) {
		Long fromNanos = this.seenFromNanos.get(ver);
		return fromNanos == null || System.nanoTime() - fromNanos >= 0;
	}

	private long newestSeen() {
		long newest = this.version;
		while (!isSeen(newest)) {
			newest--;
		}
		return newest;
	}

	synchronized void put(String table, String key, String value) {
		nextVersion();
		store(new Name(table, "", key), value);
		notifyAll();
	}

	private void store(Name name, String value) {
		Row row = new Row(name.table(), name.part(), name.key(), value, this.version, value == null);
		Row former = this.rows.put(name, row);
		TreeMap<Long, Set<Row>> changes = this.history.computeIfAbsent(name.table(), (table) -> new TreeMap<>());
		if (former != null) {
			changes.computeIfPresent(former.ver(),
					(ver, changed) -> (changed.remove(former) && changed.isEmpty()) ? null : changed);
		}
		changes.computeIfAbsent(this.version, (ver) -> new LinkedHashSet<>()).add(row);
	}

	/**
	 * Carry a write out.
	 * @param write conditions, rows to write and rows to remove
	 * @return the answer, with the present rows if a condition does not hold; 400 if a
	 * value is too large
	 */
	synchronized Answer commit(JsonNode write) {
		for (JsonNode put : write.path("puts")) {
			if (put.path("value").asText().length() > MAX_VALUE_CHARACTERS) {
				return new Answer(400, Map.of());
			}
		}
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
		nextVersion();
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

	/**
	 * Wait for changes.
	 * @param table the table
	 * @param after the version from which to go on
	 * @param waitMillis how long to wait
	 * @param mostRows bound of the answer, within which at least one transaction is whole
	 * @param givenUp whether to wait no longer
	 * @return the changes; if they were cut, with the version of the last whole
	 * transaction
	 */
	synchronized Answer changes(String table, long after, long waitMillis, int mostRows, BooleanSupplier givenUp)
			throws InterruptedException {
		long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		while (!hasNewer(table, after) && after >= this.oldestHistory && System.nanoTime() - end < 0
				&& !givenUp.getAsBoolean()) {
			long left = Math.min(end - System.nanoTime(),
					isSeen(this.version) ? LONGEST_WAIT_NANOS : SHORTEST_WAIT_NANOS);
			TimeUnit.NANOSECONDS.timedWait(this, Math.max(1_000_000, left));
		}
		if (after < this.oldestHistory) {
			return new Answer(HISTORY_LOST, Map.of());
		}
		List<Row> newer = newer(table, after);
		if (newer.size() <= mostRows) {
			return new Answer(200, new Rows(newer, false, newestSeen()));
		}
		return new Answer(200, prefix(newer, mostRows));
	}

	private static Rows prefix(List<Row> newer, int mostRows) {
		long first = newer.get(0).ver();
		int kept = mostRows;
		while (kept < newer.size() && newer.get(kept).ver() == first) {
			kept++;
		}
		boolean isCutWithin = kept < newer.size() && newer.get(kept).ver() == newer.get(kept - 1).ver();
		long last = newer.get(kept - 1).ver();
		long whole = !isCutWithin ? last
				: newer.stream().mapToLong(Row::ver).filter((ver) -> ver < last).max().orElseThrow();
		return new Rows(List.copyOf(newer.subList(0, kept)), false, whole);
	}

	private boolean hasNewer(String table, long after) {
		return !newer(table, after).isEmpty();
	}

	private List<Row> newer(String table, long after) {
		return this.history.getOrDefault(table, new TreeMap<>())
			.tailMap(after, false)
			.values()
			.stream()
			.flatMap(Set::stream)
			.filter((row) -> isSeen(row.ver()))
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
