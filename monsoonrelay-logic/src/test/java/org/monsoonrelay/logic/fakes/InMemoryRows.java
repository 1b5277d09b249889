package org.monsoonrelay.logic.fakes;

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
 * Rows in memory that are written on condition of their versions, without faults. Not
 * thread-safe.
 */
public final class InMemoryRows {

	private final NavigableMap<String, Row> rows = new TreeMap<>();

	private long version;

	/**
	 * Carry a transaction out, or nothing of it.
	 * @param writes the writes with the versions that they expect
	 * @return what became of it
	 */
	public CommitResult apply(List<ConditionalWrite> writes) {
		Map<String, Long> conflicts = new HashMap<>();
		for (ConditionalWrite write : writes) {
			long found = row(write.key()).map(Row::version).orElse(ConditionalWrite.ABSENT);
			if (found != write.expectedVersion()) {
				conflicts.put(write.key(), found);
			}
		}
		if (!conflicts.isEmpty()) {
			return new CommitResult.Conflict(conflicts);
		}
		this.version++;
		Map<String, Long> versions = new HashMap<>();
		for (ConditionalWrite write : writes) {
			this.rows.put(write.key(), new Row(write.key(), write.value(), this.version));
			versions.put(write.key(), this.version);
		}
		return new CommitResult.Committed(versions);
	}

	public Optional<Row> row(String key) {
		return Optional.ofNullable(this.rows.get(key));
	}

	/**
	 * The rows whose keys have a prefix, in their order.
	 * @param prefix the prefix
	 * @return the rows
	 */
	public List<Row> rows(String prefix) {
		return this.rows.values().stream().filter((row) -> row.key().startsWith(prefix)).toList();
	}

}
