package org.monsoonrelay.logic.pool;

import java.util.Map;
import java.util.Optional;

import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * Messages of the pool's owner to the schedulers on other hosts. Delivery is best effort.
 * Implementations do not block.
 */
public interface PeerNotifier {

	/**
	 * Sends a heartbeat of the owner. The other hosts take over early if heartbeats stop
	 * while the owner record does not change.
	 * @param epoch the owner's epoch
	 * @param version version of the row that the owner wrote last
	 */
	void sendHeartbeat(long epoch, long version);

	/**
	 * Publishes job states and queue counts that are durable now and may be reported to
	 * callers.
	 * @param epoch the owner's epoch
	 * @param states the new states, by job id
	 * @param pending the number of waiting jobs, if it was written
	 */
	void publishStates(long epoch, Map<String, SubmissionState> states, Optional<QueueCount> pending);

	/**
	 * Announces that the pool was released, so that another host can own it at once.
	 * @param record the released row
	 * @param version version of that row
	 */
	void announceRelease(OwnerRecord record, long version);

	/**
	 * Asks the other hosts to take the pool over because the table rejects the owner's
	 * writes. Until its next successful write, the owner starts no job that it learns of
	 * after this.
	 * @param version version of the row that the owner wrote last
	 */
	void requestTakeOver(long version);

}
