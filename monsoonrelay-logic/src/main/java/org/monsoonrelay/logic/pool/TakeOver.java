package org.monsoonrelay.logic.pool;

/**
 * How a process came to own the pool. Immutable.
 *
 * @param record the row that says so
 * @param version the row's version; what an earlier owner knew is older, unless it did
 * not know of this yet
 * @param sentNanos when the row was sent, on the steady clock
 * @param sentMillis when it was sent, by the time of day
 * @param previous the earlier owner's row
 * @param formerOwnerStartMillis how long from now on the earlier owner may still take
 * itself for the owner and start jobs that it learns, milliseconds
 */
public record TakeOver(OwnerRecord record, long version, long sentNanos, long sentMillis, OwnerRecord previous,
		long formerOwnerStartMillis) {

}
