package org.monsoonrelay.logic.platform;

import java.util.List;

/**
 * Changes of a table after a version. Immutable.
 *
 * @param rows the changed rows in the order of their versions
 * @param version the version to continue from
 * @param more whether later changes may exist already, since the number of rows in an
 * answer is limited
 * @param historyLost whether the changes are no longer retained, so that the table has to
 * be read again
 */
public record TableChanges(List<TableRow> rows, long version, boolean more, boolean historyLost) {

	/** The requested changes are no longer retained. */
	public static final TableChanges HISTORY_LOST = new TableChanges(List.of(), 0, false, true);

	public TableChanges {
		rows = List.copyOf(rows);
	}

}
