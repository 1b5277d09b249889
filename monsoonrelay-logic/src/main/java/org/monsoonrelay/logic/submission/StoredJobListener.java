package org.monsoonrelay.logic.submission;

import org.monsoonrelay.model.submission.Submission;

/**
 * Told of rows that were just stored, so that the owner of the pool may hear of them
 * before its feed brings them. Called on the table client's threads, which it must not
 * block; nothing depends on a call arriving.
 */
public interface StoredJobListener {

	/** Tells nobody. */
	StoredJobListener NONE = new StoredJobListener() {

		@Override
		public void jobAccepted(Submission submission, long version) {
		}

		@Override
		public void jobCancelled(String job) {
		}

	};

	/**
	 * A job was stored.
	 * @param submission the job
	 * @param version the version of its row
	 */
	void jobAccepted(Submission submission, long version);

	/**
	 * A cancellation was stored.
	 * @param job the job's id
	 */
	void jobCancelled(String job);

}
