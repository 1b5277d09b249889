package org.monsoonrelay.logic.queue;

import java.util.function.Consumer;

import org.monsoonrelay.model.job.JobId;

/**
 * Creates the record store of a queue manager.
 */
public interface JobRecordStoreFactory {

	/**
	 * Create the record store.
	 * @param onConflict called with a job whose row another owner has changed
	 * @return the record store
	 */
	JobRecordStore create(Consumer<JobId> onConflict);

}
