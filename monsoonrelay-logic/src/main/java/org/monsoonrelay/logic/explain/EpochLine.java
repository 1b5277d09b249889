package org.monsoonrelay.logic.explain;

/**
 * A line with the owner's epoch under which it was written. Immutable.
 *
 * @param line the line
 * @param epoch the epoch, {@link #NO_EPOCH} if no owner wrote it or it is not known
 */
record EpochLine(LogLine line, long epoch) {

	static final long NO_EPOCH = 0;

}
