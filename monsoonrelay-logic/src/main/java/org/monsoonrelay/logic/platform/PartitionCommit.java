package org.monsoonrelay.logic.platform;

import java.util.List;

/**
 * Outcome of a {@link PartitionWrite}. Immutable.
 */
public sealed interface PartitionCommit {

	/**
	 * The write took effect.
	 *
	 * @param version the version assigned to the write
	 */
	record Committed(long version) implements PartitionCommit {

	}

	/**
	 * A condition did not hold; nothing was written.
	 *
	 * @param current the existing rows among those named in the conditions
	 */
	record Conflict(List<TableRow> current) implements PartitionCommit {

		public Conflict {
			current = List.copyOf(current);
		}

	}

	/**
	 * The service does not accept the content of the write, as when a row is too large.
	 * It never takes effect, also if it is repeated or sent by another process.
	 *
	 * @param reason the reason given by the service
	 */
	record Rejected(String reason) implements PartitionCommit {

	}

	/**
	 * The service refused the write for now. It neither took effect nor will, but may be
	 * accepted if it is repeated.
	 *
	 * @param reason the reason given by the service
	 */
	record NotDone(String reason) implements PartitionCommit {

	}

	/**
	 * No answer arrived: the write may have taken effect or may still take effect.
	 *
	 * @param reason why there is no answer
	 */
	record Unknown(String reason) implements PartitionCommit {

	}

}
