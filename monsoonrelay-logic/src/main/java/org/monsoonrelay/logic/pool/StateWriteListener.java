package org.monsoonrelay.logic.pool;

import java.util.Map;
import java.util.Optional;

import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * Receives the outcome of the writes of a {@link PoolStateWriter}, on the control thread.
 */
interface StateWriteListener {

	/**
	 * Called when a write has taken effect.
	 * @param states the states that it made durable, by job id
	 * @param pending the number of waiting jobs, if the write contains it
	 */
	void writeDurable(Map<String, SubmissionState> states, Optional<QueueCount> pending);

	/**
	 * Called when the table does not accept writes of this host. It may accept those of
	 * other hosts.
	 */
	void writesRejected();

	/**
	 * Called once when rows cannot be composed, until they can.
	 * @param job the job whose rows they are, empty for those of the owner
	 * @param failure what failed
	 */
	void writeNotComposed(String job, RuntimeException failure);

	/**
	 * Called before the releasing write is sent. No request to a worker may be sent from
	 * then on.
	 */
	void releaseStarting();

	/**
	 * Called when the pool was released.
	 * @param record the released row
	 * @param version version of that row
	 */
	void released(OwnerRecord record, long version);

	/**
	 * Called when another process owns the pool.
	 * @param reason how this was detected
	 */
	void ownershipLost(String reason);

}
