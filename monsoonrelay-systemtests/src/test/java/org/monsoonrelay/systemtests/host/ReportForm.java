package org.monsoonrelay.systemtests.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * How a worker lists what runs and what has ended. Immutable.
 *
 * @param mostEnds how many ends a list holds
 * @param late where an end that happened just now is missing
 */
record ReportForm(int mostEnds, Late late) {

	/** Each list is whole. */
	static final ReportForm WHOLE = new ReportForm(Integer.MAX_VALUE, Late.NONE);

	/** One of so many ends is late. */
	private static final int LATE_SHARE = 20;

	private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(8);

	/**
	 * Compose a report.
	 * @param running what runs
	 * @param ended the ends that were not acknowledged, in order
	 * @return both lists
	 */
	Lists lists(Map<String, Integer> running, List<WorkerEnd> ended) {
		Map<String, Integer> active = new HashMap<>(running);
		List<WorkerEnd> listed = new ArrayList<>();
		for (WorkerEnd end : ended) {
			boolean isLate = this.late != Late.NONE && end.number() % LATE_SHARE == 0
					&& System.nanoTime() - end.endedNanos() < LATE_NANOS;
			if (isLate && this.late == Late.IN_NO_LIST) {
				break;
			}
			if (isLate) {
				active.putIfAbsent(end.task(), end.attempt());
			}
			else if (listed.size() < this.mostEnds) {
				listed.add(end);
			}
		}
		return new Lists(active, listed);
	}

	/** Where an end that happened just now is missing. */
	enum Late {

		/** Nowhere: the lists are of one moment. */
		NONE,

		/** Its run is among the active ones, and later ends may be listed before it. */
		STILL_ACTIVE,

		/** It is in neither list, nor are later ends. */
		IN_NO_LIST

	}

	/**
	 * The lists of a report.
	 *
	 * @param running attempts that run, by task
	 * @param ended ends in order
	 */
	record Lists(Map<String, Integer> running, List<WorkerEnd> ended) {

	}

}
