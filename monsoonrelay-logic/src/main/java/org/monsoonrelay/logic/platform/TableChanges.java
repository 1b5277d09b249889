package org.monsoonrelay.logic.platform;

import java.util.List;

/**
 * What changed in a table after a version. Immutable.
 *
 * @param rows the changed rows in order
 * @param version the version to continue from
 * @param more whether there may be later changes already, as an answer holds only so many
 * @param historyLost whether the changes are no longer kept, so that the table has to be
 * read anew
 */
public record TableChanges(List<TableRow> rows, long version, boolean more, boolean historyLost) {

	/** The changes asked for are no longer kept. */
	public static final TableChanges HISTORY_LOST = new TableChanges(List.of(), 0, false, true);

	public TableChanges {
		rows = List.copyOf(rows);
	}

}
