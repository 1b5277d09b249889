package org.monsoonrelay.logic.pool;

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
record FailedWrite(String reason, int jobs, int rows, long bytes, String largestRow, long largestBytes) {

	static FailedWrite of(PartitionWrite write, int jobs, String reason) {
		return of(write.puts(), jobs, reason);
	}

	static FailedWrite ofJob(PartitionWrite write, String job, String reason) {
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
