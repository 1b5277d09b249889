package org.monsoonrelay.logic.submission;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.TableRow;

/**
 * What the table holds of a job that could not be stored or withdrawn. Immutable.
 *
 * @param job the row of the job
 * @param withdrawal the row of its withdrawal
 */
record ExistingRows(Optional<TableRow> job, Optional<TableRow> withdrawal) {

	/**
	 * Returns the rows of a job.
	 * @param table the table
	 * @param id the job's id
	 * @param current the rows in the conflict, which are read if it contains none: a
	 * conflict that another host reports does not
	 * @return the rows, failing if they cannot be read
	 */
	static CompletableFuture<ExistingRows> of(PartitionedTable table, String id, List<TableRow> current) {
		if (!current.isEmpty()) {
			return CompletableFuture.completedFuture(
					new ExistingRows(find(JobTables.JOBS, id, current), find(JobTables.WITHDRAWALS, id, current)));
		}
		String partition = JobTables.partition(id);
		return table.read(JobTables.JOBS, partition, id, 1)
			.thenCombine(table.read(JobTables.WITHDRAWALS, partition, id, 1),
					(jobs, withdrawals) -> new ExistingRows(find(JobTables.JOBS, id, jobs.rows()),
							find(JobTables.WITHDRAWALS, id, withdrawals.rows())));
	}

	private static Optional<TableRow> find(String table, String key, List<TableRow> rows) {
		return rows.stream().filter((row) -> row.table().equals(table) && row.key().equals(key)).findFirst();
	}

	/**
	 * Returns the version of the withdrawal for another write.
	 * @param tried the version on which the write was conditional that had the conflict
	 * @return the version, 0 if there is no withdrawal
	 * @throws PlatformException if the same write may succeed now, after a while
	 */
	long withdrawalVersionOtherThan(long tried) {
		long version = this.withdrawal.map(TableRow::version).orElse(0L);
		if (version == tried) {
			throw new PlatformException("the rows have changed since the conflict", false, null);
		}
		return version;
	}

}
