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
 * In-memory rows with conditional writes, without fault injection. Not thread-safe.
 */
public final class InMemoryRows {

	private final NavigableMap<String, Row> rows = new TreeMap<>();

	private long version;

	/**
	 * Apply a transaction atomically.
	 * @param writes the writes with their expected versions
	 * @return the outcome
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
	 * The rows whose keys start with a prefix, in the order of their keys.
	 * @param prefix the prefix
	 * @return the rows
	 */
	public List<Row> rows(String prefix) {
		return this.rows.values().stream().filter((row) -> row.key().startsWith(prefix)).toList();
	}

}
