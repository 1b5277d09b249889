package org.monsoonrelay.logic.platform;

import java.util.List;

/**
 * What became of a {@link PartitionWrite}.
 */
public sealed interface PartitionCommit {

	/**
	 * The write took effect.
	 *
	 * @param version the version it got
	 */
	record Committed(long version) implements PartitionCommit {

	}

	/**
	 * A condition did not hold; nothing was written.
	 *
	 * @param current the rows that exist of those named in conditions
	 */
	record Conflict(List<TableRow> current) implements PartitionCommit {

		public Conflict {
			current = List.copyOf(current);
		}

	}

	/**
	 * The service turned the write down; nothing was or will be written.
	 *
	 * @param reason what it said
	 */
	record NotDone(String reason) implements PartitionCommit {

	}

	/**
	 * No answer came: the write may have taken effect, or may still do so.
	 *
	 * @param reason what happened
	 */
	record Unknown(String reason) implements PartitionCommit {

	}

}
