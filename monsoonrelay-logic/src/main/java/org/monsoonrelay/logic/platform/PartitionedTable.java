package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table with partitions and a change feed. Implementations
 * are thread-safe. Futures of reads fail with {@link PlatformException} if no usable
 * answer arrives; the future of a commit never fails but completes with
 * {@link PartitionCommit.Unknown}.
 */
public interface PartitionedTable {

	/**
	 * Write rows of one partition atomically.
	 * @param write the write
	 * @return the outcome
	 */
	CompletableFuture<PartitionCommit> commit(PartitionWrite write);

	/**
	 * Read rows of one partition in the order of their keys.
	 * @param table the table
	 * @param partition the partition
	 * @param from the first key to read, empty to start at the beginning
	 * @param limit the maximum number of rows to return
	 * @return the rows
	 */
	CompletableFuture<TablePage> read(String table, String partition, String from, int limit);

	/**
	 * Wait for changes of a table in any partition. An answer may hold a part of them.
	 * @param table the table
	 * @param after the version after which to return changes
	 * @param wait how long to wait for the first change
	 * @return the changes, empty if there was none within the time
	 */
	CompletableFuture<TableChanges> changes(String table, long after, Duration wait);

}
