package org.monsoonrelay.logic.submission;

/**
 * The jobs that wait as one write of an owner counted them. Versions of writes grow over
 * all owners, so that of two counts the newer one is known however late they come.
 * Immutable.
 *
 * @param summary the jobs that wait
 * @param version version of the write, 0 for none
 */
public record QueueCount(QueueSummary summary, long version) {

	/** Nothing was counted yet. */
	public static final QueueCount NONE = new QueueCount(QueueSummary.NONE, 0);

	static QueueCount newer(QueueCount known, QueueCount told) {
		return (told.version > known.version) ? told : known;
	}

}
