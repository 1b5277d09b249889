package org.monsoonrelay.logic.platform;

import java.util.List;

/**
 * What changed in a table after a version. Immutable.
 *
 * @param rows the changed rows in order
 * @param version the version to continue from
 * @param historyLost whether the changes are no longer kept, so that the table has to be
 * read anew
 */
public record TableChanges(List<TableRow> rows, long version, boolean historyLost) {

	/** The changes asked for are no longer kept. */
	public static final TableChanges HISTORY_LOST = new TableChanges(List.of(), 0, true);

	public TableChanges {
		rows = List.copyOf(rows);
	}

}
