package org.monsoonrelay.logic.platform;

import java.util.List;

/**
 * Changes of a table after a version. Immutable.
 *
 * @param rows the changed rows in the order of their versions; any number of others may
 * follow them, see {@link #isWhole()}
 * @param version the version to continue from: all changes up to it are contained here or
 * in earlier answers
 * @param historyLost whether the changes are no longer retained, so that the table has to
 * be read again
 */
public record TableChanges(List<TableRow> rows, long version, boolean historyLost) {

	/** The requested changes are no longer retained. */
	public static final TableChanges HISTORY_LOST = new TableChanges(List.of(), 0, true);

	public TableChanges {
		rows = List.copyOf(rows);
	}

	/**
	 * Whether these are all changes, as the version to continue from is above that of
	 * each row: a part of the changes is continued from its last row.
	 * @return {@code false} if others may follow
	 */
	boolean isWhole() {
		return this.rows.isEmpty() || this.version > this.rows.get(this.rows.size() - 1).version();
	}

	/**
	 * Whether the feed cannot be continued, as this answer ends within the rows of the
	 * first write after a version.
	 * @param after the version after which changes were asked for
	 * @return {@code true} if the next answer would be the same
	 */
	boolean isStuckAt(long after) {
		return !this.rows.isEmpty() && this.version <= after;
	}

}
