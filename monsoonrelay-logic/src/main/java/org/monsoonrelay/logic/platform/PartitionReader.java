package org.monsoonrelay.logic.platform;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Reads partitions of a table in full, page by page, or single rows of them. Thread-safe.
 */
public final class PartitionReader {

	/** Maximum number of rows that one call returns. */
	public static final int PAGE_ROWS = 500;

	private final PartitionedTable table;

	private final String name;

	/**
	 * Create a reader.
	 * @param table the service
	 * @param name the table to read
	 */
	public PartitionReader(PartitionedTable table, String name) {
		this.table = table;
		this.name = name;
	}

	/**
	 * Read all rows of a partition. Rows that change between two pages may be missing or
	 * outdated; they have versions above that of the result.
	 * @param partition the partition
	 * @return the rows with the version of the oldest page
	 */
	public CompletableFuture<TablePage> readAll(String partition) {
		return read(partition, "", new ArrayList<>(), Long.MAX_VALUE);
	}

	private CompletableFuture<TablePage> read(String partition, String from, List<TableRow> rows, long version) {
		return this.table.read(this.name, partition, from, PAGE_ROWS).thenCompose((page) -> {
			rows.addAll(page.rows());
			long oldest = Math.min(version, page.version());
			if (!page.truncated() || page.rows().isEmpty()) {
				return CompletableFuture.completedFuture(new TablePage(rows, false, oldest));
			}
			return read(partition, page.rows().get(page.rows().size() - 1).key() + "!", rows, oldest);
		});
	}

	/**
	 * Read single rows of a partition, one call for each.
	 * @param partition the partition
	 * @param keys the keys of the rows
	 * @return the rows that exist
	 */
	public CompletableFuture<List<TableRow>> readRows(String partition, Collection<String> keys) {
		List<CompletableFuture<List<TableRow>>> reads = keys.stream().map((key) -> readRow(partition, key)).toList();
		return CompletableFuture.allOf(reads.toArray(CompletableFuture[]::new))
			.thenApply((done) -> reads.stream().flatMap((read) -> read.join().stream()).toList());
	}

	private CompletableFuture<List<TableRow>> readRow(String partition, String key) {
		return this.table.read(this.name, partition, key, 1)
			.thenApply((page) -> page.rows().stream().filter((row) -> row.key().equals(key)).toList());
	}

	/**
	 * Read the rows of a partition that are newer than a version. If there are any, they
	 * are all that changed up to the version of the result, but for deleted rows.
	 * @param partition the partition
	 * @param known the version
	 * @return the rows with the version of the oldest page, or none with the known
	 * version
	 */
	CompletableFuture<TableChanges> readNewer(String partition, long known) {
		return readAll(partition).thenApply((latest) -> {
			List<TableRow> newer = latest.rows().stream().filter((row) -> row.version() > known).toList();
			// Without a change the feed is polled next, which reports deleted rows.
			return new TableChanges(newer, newer.isEmpty() ? known : latest.version(), false);
		});
	}

	/**
	 * Read the newest version of the table.
	 * @param partition any partition
	 * @return the version
	 */
	CompletableFuture<Long> readVersion(String partition) {
		return this.table.read(this.name, partition, "", 1).thenApply(TablePage::version);
	}

}
