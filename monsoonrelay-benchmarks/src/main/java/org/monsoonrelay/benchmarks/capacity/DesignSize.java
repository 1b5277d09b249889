package org.monsoonrelay.benchmarks.capacity;

/**
 * The size designed for, and what a node may spend on control. Where the plan names no
 * number, the assumption is told. Constants only.
 */
final class DesignSize {

	static final int WORKERS = 10_000;

	static final int RACKS = 1_250;

	static final int TEAMS = 72;

	static final int RUNNING_TASKS = 43_000;

	static final int JOBS_A_DAY = 68_000;

	static final int STARTS_A_SECOND = 9_200;

	static final int CHANGES_A_DAY = 3_800;

	static final int FAILURE_DOMAINS = 7;

	/**
	 * Assumed: the plan names no number of entry hosts. Eight in each failure domain keep
	 * six through a planned replacement and a failure at once.
	 */
	static final int ENTRY_HOSTS = 8 * FAILURE_DOMAINS;

	/** Each entry host runs one gateway and one scheduler. */
	static final int PROCESSES = 2 * ENTRY_HOSTS;

	/** Assumed: one backend server for ten workers. */
	static final int BACKEND_SERVERS = 1_000;

	/** Rows of jobs' progress that all schedulers together write; they keep to it. */
	static final double JOURNAL_ROWS_A_SECOND = 200;

	/** How often a scheduler reads all owners while no session lapses. */
	static final double OWNER_READING_SECONDS = 30;

	/** Assumed: share of the workloads that a team of another queue owner depends on. */
	static final double AWAITED_SHARE = 0.01;

	static final double SECONDS_A_DAY = 86_400;

	/** Each of 54 failing and 1,400 replaced hosts a day changes the list twice. */
	static final double HOST_LISTS_A_SECOND = 2 * (54 + 1_400) / SECONDS_A_DAY;

	static final double PROCESSOR_SHARE = 0.019;

	static final double MEMORY_MIB = 256;

	static final double BYTES_A_SECOND = 7_000;

	/** The table's several hundred writes a second, read as 500. */
	static final double TABLE_WRITES_A_SECOND = 500;

	static final double TABLE_READS_A_SECOND = 2_000;

	private DesignSize() {
	}

}
