package org.monsoonrelay.logic.pool;

import java.util.Optional;

import org.monsoonrelay.logic.platform.CatchUp;
import org.monsoonrelay.logic.submission.StoredProgress;
import org.monsoonrelay.model.submission.Submission;

/**
 * An owner that receives the jobs of a {@link JobTableReplica}, on the control thread.
 */
interface JobReplicaListener {

	/**
	 * Called when a job was submitted.
	 * @param submission the job
	 * @param progress the progress that a former owner stored, if any
	 * @param version version of the job's row
	 */
	void submitted(Submission submission, Optional<StoredProgress> progress, long version);

	/**
	 * Called for a job that had ended before this owner took over.
	 * @param job the job's id
	 */
	void alreadyEnded(String job);

	/**
	 * Called when a caller has cancelled a job.
	 * @param job the job's id
	 */
	void cancelled(String job);

	/**
	 * Called before the jobs are replayed, once the progress of former owners is read.
	 * @param read what reading the change feed up to the take-over took
	 * @param missedRows number of rows that the table held and the feed had not shown, -1
	 * if the table was not read in time
	 * @param unfinishedJobs number of jobs that have not ended
	 * @param endedJobs number of jobs that have ended
	 */
	void progressLoaded(CatchUp read, int missedRows, int unfinishedJobs, int endedJobs);

	/**
	 * Called for progress of a former owner that is read after the replay, also if this
	 * owner has written the job's progress since.
	 * @param job the job's id
	 * @param progress the progress
	 */
	void progressReceivedLate(String job, StoredProgress progress);

	/** Called after jobs or cancellations have been delivered. */
	void changed();

	/** Called once when all jobs have been delivered. */
	void allLoaded();

}
