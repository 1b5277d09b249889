package org.monsoonrelay.logic.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * Writes to one partition that take effect all or none. Immutable.
 *
 * @param partition the partition
 * @param conditions versions that rows must have
 * @param puts rows to write
 * @param removals rows to remove
 */
public record PartitionWrite(String partition, List<Condition> conditions, List<Put> puts, List<Removal> removals) {

	public PartitionWrite {
		conditions = List.copyOf(conditions);
		puts = List.copyOf(puts);
		removals = List.copyOf(removals);
	}

	/**
	 * Begin a write.
	 * @param partition the partition
	 * @return the write without entries
	 */
	public static PartitionWrite to(String partition) {
		return new PartitionWrite(partition, List.of(), List.of(), List.of());
	}

	/**
	 * Demand a row's version.
	 * @param table the table
	 * @param key the row's key
	 * @param version the version it must have, 0 if it must not exist
	 * @return the write with the condition
	 */
	public PartitionWrite onVersion(String table, String key, long version) {
		return new PartitionWrite(this.partition, with(this.conditions, new Condition(table, key, version)), this.puts,
				this.removals);
	}

	/**
	 * Write a row.
	 * @param table the table
	 * @param key the row's key
	 * @param value the value, JSON text
	 * @return the write with the row
	 */
	public PartitionWrite put(String table, String key, String value) {
		return new PartitionWrite(this.partition, this.conditions, with(this.puts, new Put(table, key, value)),
				this.removals);
	}

	private static <T> List<T> with(List<T> present, T more) {
		List<T> all = new ArrayList<>(present);
		all.add(more);
		return all;
	}

	/**
	 * A version that a row must have.
	 *
	 * @param table the table
	 * @param key the row's key
	 * @param version the version, 0 if the row must not exist
	 */
	public record Condition(String table, String key, long version) {

	}

	/**
	 * A row to write.
	 *
	 * @param table the table
	 * @param key the row's key
	 * @param value the value, JSON text
	 */
	public record Put(String table, String key, String value) {

	}

	/**
	 * A row to remove.
	 *
	 * @param table the table
	 * @param key the row's key
	 */
	public record Removal(String table, String key) {

	}

}
