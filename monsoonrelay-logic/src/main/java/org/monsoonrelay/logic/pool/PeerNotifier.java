package org.monsoonrelay.logic.pool;

import java.util.Map;
import java.util.Optional;

import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * What an owner tells the other hosts, as far as messages reach them. Implementations do
 * not block.
 */
public interface PeerNotifier {

	/**
	 * The owner is at work. The others take over early if this stops while the row stands
	 * still.
	 * @param epoch the owner's epoch
	 * @param version version of the row that the owner wrote last
	 */
	void sendHeartbeat(long epoch, long version);

	/**
	 * States and counts are durable now and may be told to callers.
	 * @param epoch the owner's epoch
	 * @param states the new states, by job
	 * @param pending the jobs that wait, if they were counted anew
	 */
	void publishStates(long epoch, Map<String, SubmissionState> states, Optional<QueueCount> pending);

	/**
	 * The pool was given up: another host may own it at once.
	 * @param record the row that says so
	 * @param version its version
	 */
	void announceRelease(OwnerRecord record, long version);

	/**
	 * The table does not take the owner's writes: another host had better own the pool.
	 * @param version version of the row that the owner wrote last; the owner starts no
	 * job that it learns until it writes another
	 */
	void requestTakeOver(long version);

}
