package org.monsoonrelay.logic.pool;

import java.util.HashSet;
import java.util.Set;

import org.monsoonrelay.logic.submission.JobTables;

/**
 * Which partitions of the table of jobs are loaded, and which are known up to the last
 * take-over. Invariant: a partition is known up to there once it is loaded and the
 * changes were read up to the version of the take-over, in the same load; that stays so
 * when the change history is lost later. Not thread-safe: confined to the control thread.
 */
final class JobPartitions {

	private final Set<String> loaded = new HashSet<>();

	private final Set<String> readUpToTakeOver = new HashSet<>();

	private boolean caughtUp;

	/** Records that an owner took over: of no partition the rows up to then are known. */
	void takenOver() {
		this.readUpToTakeOver.clear();
		this.caughtUp = false;
	}

	/** Records that all changes up to the take-over were read. */
	void caughtUp() {
		this.caughtUp = true;
		this.readUpToTakeOver.addAll(this.loaded);
	}

	/**
	 * Records that a partition was loaded.
	 * @param partition the partition
	 * @return whether changes can be read from now on, which have to be read up to the
	 * take-over
	 */
	boolean loaded(String partition) {
		boolean isFirst = this.loaded.isEmpty();
		this.loaded.add(partition);
		if (this.caughtUp) {
			this.readUpToTakeOver.add(partition);
		}
		return isFirst && !this.caughtUp;
	}

	/** Records that changes were missed, so that all partitions are loaded again. */
	void historyLost() {
		this.loaded.clear();
		this.caughtUp = false;
	}

	/** Records that the rows were forgotten. */
	void forget() {
		historyLost();
		this.readUpToTakeOver.clear();
	}

	boolean isLoaded(String job) {
		return this.loaded.contains(JobTables.partition(job));
	}

	boolean areAllLoaded() {
		return this.loaded.size() == JobTables.partitions().size();
	}

	boolean isReadUpToTakeOver(String job) {
		return this.readUpToTakeOver.contains(JobTables.partition(job));
	}

}
