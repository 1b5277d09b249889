package org.monsoonrelay.logic.submission;

import org.monsoonrelay.model.submission.Submission;

/**
 * Notified of rows that were just stored, so that the owner of the pool can be notified
 * before its change feed delivers them. Called on the table client's threads, which it
 * must not block. Notifications are best effort; correctness does not depend on them.
 */
public interface StoredJobListener {

	/** A listener that ignores all notifications. */
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
