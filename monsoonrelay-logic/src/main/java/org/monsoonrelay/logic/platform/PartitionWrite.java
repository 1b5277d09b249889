package org.monsoonrelay.logic.platform;

import java.util.ArrayList;
import java.util.List;

/**
 * An atomic, conditional write of rows in one partition. Immutable.
 *
 * @param partition the partition
 * @param conditions the required versions of rows
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
	 * Create a write without entries.
	 * @param partition the partition
	 * @return the write
	 */
	public static PartitionWrite to(String partition) {
		return new PartitionWrite(partition, List.of(), List.of(), List.of());
	}

	/**
	 * Add a condition on the version of a row.
	 * @param table the table
	 * @param key the row's key
	 * @param version the version it must have, 0 if it must not exist
	 * @return a copy with the condition
	 */
	public PartitionWrite onVersion(String table, String key, long version) {
		return new PartitionWrite(this.partition, with(this.conditions, new Condition(table, key, version)), this.puts,
				this.removals);
	}

	/**
	 * Add a row to write.
	 * @param table the table
	 * @param key the row's key
	 * @param value the value, JSON text
	 * @return a copy with the row
	 */
	public PartitionWrite put(String table, String key, String value) {
		return new PartitionWrite(this.partition, this.conditions, with(this.puts, new Put(table, key, value)),
				this.removals);
	}

	/**
	 * Add a row to remove.
	 * @param table the table
	 * @param key the row's key
	 * @return a copy with the removal
	 */
	public PartitionWrite remove(String table, String key) {
		return new PartitionWrite(this.partition, this.conditions, this.puts,
				with(this.removals, new Removal(table, key)));
	}

	private static <T> List<T> with(List<T> existing, T added) {
		List<T> all = new ArrayList<>(existing);
		all.add(added);
		return all;
	}

	/**
	 * The required version of a row.
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
