package org.monsoonrelay.logic.platform;

import java.util.List;

/**
 * A page of rows of one partition, read at one version. Immutable.
 *
 * @param rows the rows in the order of their keys
 * @param truncated whether more rows follow
 * @param version newest version of the table service at the time of the read
 */
public record TablePage(List<TableRow> rows, boolean truncated, long version) {

	public TablePage {
		rows = List.copyOf(rows);
	}

}
