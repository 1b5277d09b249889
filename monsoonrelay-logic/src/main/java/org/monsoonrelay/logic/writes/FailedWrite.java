package org.monsoonrelay.logic.writes;

import java.nio.charset.StandardCharsets;
import java.util.List;

import org.monsoonrelay.logic.platform.PartitionWrite;

/**
 * A write that the table did not accept. Immutable.
 *
 * @param reason the answer of the table
 * @param jobs number of jobs whose rows it contained
 * @param rows number of rows
 * @param bytes size of the values of all rows, bytes
 * @param largestRow table and key of the largest row, separated by a slash
 * @param largestBytes size of the value of that row, bytes
 */
public record FailedWrite(String reason, int jobs, int rows, long bytes, String largestRow, long largestBytes) {

	/**
	 * Returns a write that was not accepted as a whole.
	 * @param write the write
	 * @param jobs number of jobs whose rows it contained
	 * @param reason the answer of the table
	 * @return the write
	 */
	public static FailedWrite of(PartitionWrite write, int jobs, String reason) {
		return of(write.puts(), jobs, reason);
	}

	/**
	 * Returns the part of a write that contains the rows of one job.
	 * @param write the write
	 * @param job the job's id
	 * @param reason the answer of the table
	 * @return the part of the write
	 */
	public static FailedWrite ofJob(PartitionWrite write, String job, String reason) {
		return of(write.puts().stream().filter((put) -> put.key().equals(job)).toList(), 1, reason);
	}

	private static FailedWrite of(List<PartitionWrite.Put> puts, int jobs, String reason) {
		long bytes = 0;
		long largestBytes = -1;
		String largestRow = "";
		for (PartitionWrite.Put put : puts) {
			long size = put.value().getBytes(StandardCharsets.UTF_8).length;
			bytes += size;
			if (size > largestBytes) {
				largestBytes = size;
				largestRow = put.table() + '/' + put.key();
			}
		}
		return new FailedWrite(reason, jobs, puts.size(), bytes, largestRow, largestBytes);
	}

}
