package org.monsoonrelay.logic.submission;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Names of the tables, partitions and keys that hold submitted jobs. Stateless and
 * thread-safe.
 */
public final class JobTables {

	/** Submissions and cancellations, spread over partitions by job. */
	public static final String JOBS = "jobs";

	/** Progress of jobs and the summary of queues, written by the pool's owner alone. */
	public static final String PROGRESS = "progress";

	/** Who owns the pool. */
	public static final String OWNER = "owner";

	/** The hosts of this system. */
	public static final String HOSTS = "hosts";

	/** The partition in which the owner writes, so that its row fences its writes. */
	public static final String POOL_PARTITION = "pool";

	/** Key of the owner's row, in the table of owners and of progress. */
	public static final String OWNER_KEY = "owner";

	/** Key of the summary of queues. */
	public static final String SUMMARY_KEY = "summary";

	/**
	 * Number of partitions for acceptance. Each carries one transaction after the other:
	 * 200 a second of 5 ms, and 3 a second while the table is 60 times as slow, when 40
	 * jobs a second have to be accepted.
	 */
	private static final int PARTITIONS = 32;

	private static final String CANCEL_SUFFIX = "/cancel";

	private JobTables() {
	}

	/**
	 * Partition of a job.
	 * @param job the job's id
	 * @return the partition
	 */
	public static String partition(String job) {
		return "jobs-" + Math.floorMod(job.hashCode(), PARTITIONS);
	}

	/**
	 * All partitions of submitted jobs.
	 * @return their names
	 */
	public static List<String> partitions() {
		return IntStream.range(0, PARTITIONS).mapToObj((number) -> "jobs-" + number).toList();
	}

	/**
	 * Key of a job's cancellation.
	 * @param job the job's id
	 * @return the key
	 */
	public static String cancelKey(String job) {
		return job + CANCEL_SUFFIX;
	}

	/**
	 * Whether a key is that of a cancellation.
	 * @param key the key
	 * @return {@code true} for {@link #cancelKey}
	 */
	public static boolean isCancelKey(String key) {
		return key.endsWith(CANCEL_SUFFIX);
	}

	/**
	 * The job of a submission's or cancellation's key.
	 * @param key the key
	 * @return the job's id
	 */
	public static String job(String key) {
		return isCancelKey(key) ? key.substring(0, key.length() - CANCEL_SUFFIX.length()) : key;
	}

}
