package org.monsoonrelay.logic.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.monsoonrelay.model.membership.SessionRecord;

/**
 * Tells live sessions from lapsed ones. A session is alive while the version of its row
 * changes at least once in the lapse time, measured on this process's monotonic clock; no
 * wall clock is compared. A session seen for the first time counts as alive. Not
 * thread-safe: confined to the control thread.
 */
public final class SessionWatch {

	private final long lapseNanos;

	private final Map<String, Seen> seen = new HashMap<>();

	public SessionWatch(Duration lapse) {
		this.lapseNanos = lapse.toNanos();
	}

	/**
	 * Take in a reading of a session's row.
	 * @param record the row's value
	 * @param version the row's version
	 * @param nowNanos monotonic time of the reading
	 */
	public void observe(SessionRecord record, long version, long nowNanos) {
		Seen before = this.seen.get(record.session());
		if (before == null || before.version != version) {
			this.seen.put(record.session(), new Seen(record, version, nowNanos));
		}
	}

	/**
	 * Shift what was seen by the time in which the table could not be read, because a
	 * renewal cannot be seen then.
	 * @param nanos length of the time in nanoseconds
	 */
	public void excuse(long nanos) {
		this.seen.replaceAll((session, was) -> new Seen(was.record, was.version, was.changedNanos + nanos));
	}

	/**
	 * The live sessions.
	 * @param nowNanos monotonic time
	 * @return their records, by session
	 */
	public List<SessionRecord> live(long nowNanos) {
		List<SessionRecord> live = new ArrayList<>();
		for (Seen entry : this.seen.values()) {
			if (nowNanos - entry.changedNanos < this.lapseNanos) {
				live.add(entry.record);
			}
		}
		live.sort((first, second) -> first.session().compareTo(second.session()));
		return live;
	}

	/**
	 * Forget a session that ended.
	 * @param session the session
	 */
	public void forget(String session) {
		this.seen.remove(session);
	}

	private record Seen(SessionRecord record, long version, long changedNanos) {

	}

}
