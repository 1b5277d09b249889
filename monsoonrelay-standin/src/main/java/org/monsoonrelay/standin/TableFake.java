package org.monsoonrelay.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.Row;

/**
 * The table in memory: versions grow over all rows, transactions are atomic. Thread-safe.
 */
public final class TableFake {

	private final NavigableMap<String, Row> rows = new TreeMap<>();

	private long version;

	private long commits;

	private long rowsWritten;

	private long reads;

	/**
	 * Write rows, all or none.
	 * @param writes the writes
	 * @return what became of them
	 */
	public synchronized CommitResult commit(List<ConditionalWrite> writes) {
		Map<String, Long> conflicts = new HashMap<>();
		for (ConditionalWrite write : writes) {
			Row present = this.rows.get(write.key());
			long found = (present != null) ? present.version() : ConditionalWrite.ABSENT;
			if (found != write.expectedVersion()) {
				conflicts.put(write.key(), found);
			}
		}
		this.commits++;
		if (!conflicts.isEmpty()) {
			return new CommitResult.Conflict(conflicts);
		}
		this.version++;
		Map<String, Long> versions = new HashMap<>();
		for (ConditionalWrite write : writes) {
			this.rows.put(write.key(), new Row(write.key(), write.value(), this.version));
			versions.put(write.key(), this.version);
		}
		this.rowsWritten += writes.size();
		return new CommitResult.Committed(versions);
	}

	/**
	 * Read one row.
	 * @param key the key
	 * @return the row, if it exists
	 */
	public synchronized Optional<Row> read(String key) {
		this.reads++;
		return Optional.ofNullable(this.rows.get(key));
	}

	/**
	 * Read rows in the order of their keys.
	 * @param prefix the prefix that the keys share
	 * @param after the key after which to begin, empty for the first
	 * @param limit the most rows to return
	 * @return the rows
	 */
	public synchronized List<Row> scan(String prefix, String after, int limit) {
		this.reads++;
		List<Row> found = new ArrayList<>();
		String from = (after.compareTo(prefix) > 0) ? after : prefix;
		for (Row row : this.rows.tailMap(from, !from.equals(after)).values()) {
			if (!row.key().startsWith(prefix) || found.size() >= limit) {
				break;
			}
			found.add(row);
		}
		return found;
	}

	/**
	 * Number of transactions asked for.
	 * @return the count
	 */
	public synchronized long commits() {
		return this.commits;
	}

	/**
	 * Number of rows written.
	 * @return the count
	 */
	public synchronized long rowsWritten() {
		return this.rowsWritten;
	}

	/**
	 * Number of reads and scans.
	 * @return the count
	 */
	public synchronized long reads() {
		return this.reads;
	}

}
