package org.monsoonrelay.logic.pool;

/**
 * How a process became the owner of the pool. Immutable.
 *
 * @param record the row that made it the owner
 * @param version version of that row; a former owner knew of rows with lower versions
 * only, unless it was not aware of the take-over yet
 * @param sentNanos when the row was sent, on the monotonic clock
 * @param sentMillis when the row was sent, epoch milliseconds
 * @param previous the row of the former owner
 * @param previousKnownNanos monotonic time from which on this process knew that row: the
 * former owner has not renewed its lease since
 * @param formerLeaseEndNanos monotonic time at which all leases have ended that the
 * former owner and those before it granted
 * @param formerOwnerStartMillis time from the take-over on during which the former owner
 * may still start jobs that are stored and that it learns of, milliseconds; 0 if it
 * starts none
 * @param previousVersion version of the row of the former owner, 0 if there was none
 */
public record TakeOver(OwnerRecord record, long version, long sentNanos, long sentMillis, OwnerRecord previous,
		long previousKnownNanos, long formerLeaseEndNanos, long formerOwnerStartMillis, long previousVersion) {

}
