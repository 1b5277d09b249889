package org.monsoonrelay.logic.submission;

/**
 * The number of waiting jobs by queue, as of one write of an owner. Versions of writes
 * increase across all owners, so the newer of two counts is known in whatever order they
 * arrive. Immutable.
 *
 * @param summary the waiting jobs by queue
 * @param version version of the write, 0 if there was none
 */
public record QueueCount(QueueSummary summary, long version) {

	/** No count has been received yet. */
	public static final QueueCount NONE = new QueueCount(QueueSummary.NONE, 0);

}
