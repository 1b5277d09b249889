package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table where it has partitions and a feed of changes.
 * Implementations are safe for use by several threads. Futures of reads fail with
 * {@link PlatformException} when no usable answer came; a commit never fails but says
 * {@link PartitionCommit.Unknown}.
 */
public interface PartitionedTable {

	/**
	 * Write rows of one partition, all or none.
	 * @param write the write
	 * @return what became of it
	 */
	CompletableFuture<PartitionCommit> commit(PartitionWrite write);

	/**
	 * Read rows of one partition in the order of their keys.
	 * @param table the table
	 * @param partition the partition
	 * @param from the first key wanted, empty for the beginning
	 * @param limit the most rows to return
	 * @return the rows
	 */
	CompletableFuture<TablePage> read(String table, String partition, String from, int limit);

	/**
	 * Wait for changes of a table in any partition.
	 * @param table the table
	 * @param after the version after which changes are wanted
	 * @param wait how long to wait for the first one
	 * @return the changes, none if the time passed without any
	 */
	CompletableFuture<TableChanges> changes(String table, long after, Duration wait);

}
