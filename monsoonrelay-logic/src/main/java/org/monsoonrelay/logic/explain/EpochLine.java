package org.monsoonrelay.logic.explain;

/**
 * A log line with the owner's epoch in which it was written. Immutable.
 *
 * @param line the line
 * @param epoch the epoch, {@link #NO_EPOCH} if it was not written by an owner or the
 * epoch is unknown
 */
record EpochLine(LogLine line, long epoch) {

	static final long NO_EPOCH = 0;

}
