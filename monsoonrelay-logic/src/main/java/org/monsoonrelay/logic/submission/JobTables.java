package org.monsoonrelay.logic.submission;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Names of the tables, partitions and keys that store submitted jobs. Stateless and
 * thread-safe.
 */
public final class JobTables {

	/** Submissions and cancellations, spread over partitions by job. */
	public static final String JOBS = "jobs";

	/**
	 * Cancellations of jobs that were not stored, by id, in the partition of the job. No
	 * job is stored while such a row exists, and no such row while the job is.
	 */
	public static final String WITHDRAWALS = "withdrawals";

	/**
	 * Progress of jobs, for the next owner of the pool. Written by the owner alone, with
	 * each end of a task.
	 */
	public static final String PROGRESS = "progress";

	/**
	 * States of jobs and the summary of queues, for all hosts. Written by the owner
	 * alone, together with the progress that they follow from, when a state changes.
	 */
	public static final String STATES = "states";

	/** Ownership of the pool. */
	public static final String OWNER = "owner";

	/** The registered hosts of this system. */
	public static final String HOSTS = "hosts";

	/**
	 * The partition of the owner's row and of all its writes, so that a condition on the
	 * row fences them.
	 */
	public static final String POOL_PARTITION = "pool";

	/** Key of the owner's row in the table {@link #OWNER}. */
	public static final String OWNER_KEY = "owner";

	/** Key of the queue summary in the table {@link #STATES}. */
	public static final String SUMMARY_KEY = "summary";

	/**
	 * Number of partitions for submissions. Each partition runs its transactions one
	 * after another: 200 per second at 5 ms each, and 3 per second while the table is 60
	 * times slower than usual, when 40 jobs per second still have to be accepted.
	 */
	private static final int PARTITIONS = 32;

	private static final String CANCEL_SUFFIX = "/cancel";

	private JobTables() {
	}

	/**
	 * The partition of a job.
	 * @param job the job's id
	 * @return the name of the partition
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
	 * The key of a job's cancellation row.
	 * @param job the job's id
	 * @return the key
	 */
	public static String cancelKey(String job) {
		return job + CANCEL_SUFFIX;
	}

	/**
	 * Whether a key denotes a cancellation row.
	 * @param key the key
	 * @return {@code true} if it was made by {@link #cancelKey}
	 */
	public static boolean isCancelKey(String key) {
		return key.endsWith(CANCEL_SUFFIX);
	}

	/**
	 * The job that a submission or cancellation key belongs to.
	 * @param key the key
	 * @return the job's id
	 */
	public static String job(String key) {
		return isCancelKey(key) ? key.substring(0, key.length() - CANCEL_SUFFIX.length()) : key;
	}

}
