package org.monsoonrelay.adapters.platform;

import java.util.List;
import java.util.Map;

import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.Row;

/**
 * Messages of the table service's protocol.
 */
public final class TableMessages {

	private TableMessages() {
	}

	/**
	 * Request of a transaction.
	 *
	 * @param writes the writes
	 */
	public record Transaction(List<ConditionalWrite> writes) {

	}

	/**
	 * Answer to a transaction: the new versions, or with a conflict the present ones.
	 *
	 * @param versions version by key
	 */
	public record Versions(Map<String, Long> versions) {

	}

	/**
	 * Answer to a scan.
	 *
	 * @param rows the rows in the order of their keys
	 */
	public record Rows(List<Row> rows) {

	}

}
