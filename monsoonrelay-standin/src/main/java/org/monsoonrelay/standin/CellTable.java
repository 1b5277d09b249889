package org.monsoonrelay.standin;

import java.util.Optional;
import java.util.stream.IntStream;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.model.membership.Ownership;
import org.monsoonrelay.model.membership.SessionRecord;

/**
 * Reads what a cell's processes agreed on from the platform's table. Immutable.
 *
 * @param layout where the cell's processes listen
 */
public record CellTable(CellLayout layout) {

	/**
	 * The scheduler that owns something.
	 * @param key key of the ownership's row
	 * @return the scheduler's name, if one owns it
	 */
	public Optional<String> owner(String key) {
		Optional<SessionRecord> session = row(key, Ownership.class)
			.flatMap((ownership) -> row(TableKeys.SESSIONS + ownership.session(), SessionRecord.class));
		return session.flatMap((record) -> IntStream.range(0, this.layout.schedulers())
			.filter((index) -> this.layout.schedulerPeer(index).equals(record.peerAddress()))
			.mapToObj((index) -> "scheduler-" + (index + 1))
			.findFirst());
	}

	private <T> Optional<T> row(String key, Class<T> type) {
		String url = this.layout.platform().url() + "/table/row?key=" + key;
		return Optional.ofNullable(Json.read(Calls.get(url), Row.class)).map((row) -> Json.read(row.value(), type));
	}

}
