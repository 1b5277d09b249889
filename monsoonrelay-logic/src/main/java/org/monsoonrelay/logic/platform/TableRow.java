package org.monsoonrelay.logic.platform;

/**
 * One row of a partitioned table. Immutable.
 *
 * @param table the table
 * @param partition the partition, possibly empty
 * @param key the row's key, unique within table and partition
 * @param value the row's value, JSON text; empty for a deleted row
 * @param version version of the transaction that wrote the row; increases across all
 * tables
 * @param deleted whether the row was deleted
 */
public record TableRow(String table, String partition, String key, String value, long version, boolean deleted) {

}
