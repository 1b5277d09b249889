package org.monsoonrelay.logic.platform;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.ProcessDecision;

/**
 * Tracks table rows that this process could not parse: rows written by another program or
 * release, or corrupted rows. Each row is logged once per reason until it becomes
 * readable again, and every occurrence is counted. Invariant: the number of remembered
 * rows is bounded. Thread-safe.
 */
public final class UnreadableRows {

	/**
	 * Maximum number of remembered rows, four times the workers of a large pool. The
	 * oldest row is dropped first, and is logged again if it is still unreadable.
	 */
	private static final int MAX_ROWS = 1000;

	/** Maximum length of a reason in characters; a reason may quote the row. */
	private static final int MAX_REASON_LENGTH = 200;

	private final DecisionLog log;

	private final AtomicLong count = new AtomicLong();

	private final Map<String, String> reasons = Collections.synchronizedMap(new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
			return size() > MAX_ROWS;
		}

	});

	public UnreadableRows(DecisionLog log) {
		this.log = log;
	}

	/**
	 * Parse the value of a row.
	 * @param <T> type of the value
	 * @param row the row
	 * @param type type of the value
	 * @return the value, empty if it is unreadable, which is reported
	 */
	public <T> Optional<T> read(TableRow row, Class<T> type) {
		try {
			T value = Json.readRow(row.value(), type);
			clear(row);
			return Optional.of(value);
		}
		catch (JsonProcessingException ex) {
			report(row, ex.getOriginalMessage());
			return Optional.empty();
		}
	}

	/**
	 * Report an unreadable row.
	 * @param row the row
	 * @param reason why it is unreadable
	 */
	public void report(TableRow row, String reason) {
		this.count.incrementAndGet();
		String boundedReason = truncate(String.valueOf(reason));
		if (!boundedReason.equals(this.reasons.put(name(row), boundedReason))) {
			this.log.write(new ProcessDecision.RowUnreadable(row.table(), row.key(), boundedReason));
		}
	}

	/**
	 * Clear the record of a row that is readable or deleted.
	 * @param row the row
	 */
	public void clear(TableRow row) {
		if (!this.reasons.isEmpty()) {
			this.reasons.remove(name(row));
		}
	}

	/**
	 * The number of failed attempts to read a row.
	 * @return the count since the process started
	 */
	public long count() {
		return this.count.get();
	}

	private static String truncate(String reason) {
		return (reason.length() > MAX_REASON_LENGTH) ? reason.substring(0, MAX_REASON_LENGTH) : reason;
	}

	private static String name(TableRow row) {
		return row.table() + '/' + row.partition() + '/' + row.key();
	}

}
