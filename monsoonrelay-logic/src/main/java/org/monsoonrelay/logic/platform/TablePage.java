package org.monsoonrelay.logic.platform;

import java.util.List;

/**
 * Rows of one partition as of one moment. Immutable.
 *
 * @param rows the rows in the order of their keys
 * @param truncated whether more follow
 * @param version newest version of the service at that moment
 */
public record TablePage(List<TableRow> rows, boolean truncated, long version) {

	public TablePage {
		rows = List.copyOf(rows);
	}

}
