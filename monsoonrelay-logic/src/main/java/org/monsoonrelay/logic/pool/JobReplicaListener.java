package org.monsoonrelay.logic.pool;

import java.util.Optional;

import org.monsoonrelay.model.submission.JobProgress;
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
	void submitted(Submission submission, Optional<JobProgress> progress, long version);

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

	/** Called after jobs or cancellations have been delivered. */
	void changed();

	/** Called once when all jobs have been delivered. */
	void allLoaded();

}
