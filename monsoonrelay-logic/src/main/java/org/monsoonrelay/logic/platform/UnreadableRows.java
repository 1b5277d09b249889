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
 * The rows of the table that this process could not read: written by others, by another
 * release, or damaged. Each is told once for each reason until it can be read again, and
 * counted each time. Invariant: remembers a bounded number of rows. Thread-safe.
 */
public final class UnreadableRows {

	/**
	 * Most rows that are remembered, the latest: four times the workers of a large pool.
	 * A row that was forgotten is told again.
	 */
	private static final int MOST_ROWS = 1000;

	/** Most characters of a reason, which may quote what was read. */
	private static final int LONGEST_REASON = 200;

	private final DecisionLog log;

	private final AtomicLong count = new AtomicLong();

	private final Map<String, String> reasons = Collections.synchronizedMap(new LinkedHashMap<>() {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
			return size() > MOST_ROWS;
		}

	});

	public UnreadableRows(DecisionLog log) {
		this.log = log;
	}

	/**
	 * Read the value of a row.
	 * @param <T> type of the value
	 * @param row the row
	 * @param type type of the value
	 * @return the value, empty if it could not be read, which is noted
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
	 * Note that a row could not be read.
	 * @param row the row
	 * @param reason why
	 */
	public void report(TableRow row, String reason) {
		this.count.incrementAndGet();
		String told = bounded(String.valueOf(reason));
		if (!told.equals(this.reasons.put(name(row), told))) {
			this.log.write(new ProcessDecision.RowUnreadable(row.table(), row.key(), told));
		}
	}

	/**
	 * Note that a row could be read, or is gone.
	 * @param row the row
	 */
	public void clear(TableRow row) {
		if (!this.reasons.isEmpty()) {
			this.reasons.remove(name(row));
		}
	}

	/**
	 * How often a row could not be read.
	 * @return the count since the process started
	 */
	public long count() {
		return this.count.get();
	}

	private static String bounded(String reason) {
		return (reason.length() > LONGEST_REASON) ? reason.substring(0, LONGEST_REASON) : reason;
	}

	private static String name(TableRow row) {
		return row.table() + '/' + row.partition() + '/' + row.key();
	}

}
