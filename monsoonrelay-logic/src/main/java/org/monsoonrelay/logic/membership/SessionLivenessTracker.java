package org.monsoonrelay.logic.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.monsoonrelay.model.membership.SessionRecord;

/**
 * Tells live sessions from lapsed ones. A session has lapsed when the version of its row
 * has stayed the same for the lapse time, on this process's monotonic clock, and over
 * several readings: a store that is slow or down, or a process that was frozen, reads
 * seldom, and the others then cannot be seen to renew. No wall clock is read. A session
 * seen for the first time counts as alive. Not thread-safe: confined to the control
 * thread.
 */
public final class SessionLivenessTracker {

	private static final int MINIMUM_READINGS = 5;

	private final long expiryNanos;

	private final Map<String, Seen> seen = new HashMap<>();

	public SessionLivenessTracker(Duration expiry) {
		this.expiryNanos = expiry.toNanos();
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
			this.seen.put(record.session(), new Seen(record, version, nowNanos, 0));
		}
		else {
			this.seen.put(record.session(), new Seen(record, version, before.changedNanos, before.unchanged + 1));
		}
	}

	/**
	 * The live sessions.
	 * @param nowNanos monotonic time
	 * @return their records, by session
	 */
	public List<SessionRecord> live(long nowNanos) {
		return this.seen.values()
			.stream()
			.filter((entry) -> !entry.record.hasEnded() && !hasExpired(entry, nowNanos))
			.map(Seen::record)
			.sorted(Comparator.comparing(SessionRecord::session))
			.toList();
	}

	private boolean hasExpired(Seen entry, long nowNanos) {
		return entry.unchanged >= MINIMUM_READINGS && nowNanos - entry.changedNanos >= this.expiryNanos;
	}

	/**
	 * Forget sessions whose rows are gone.
	 * @param present the sessions that have rows
	 */
	public void retain(Set<String> present) {
		this.seen.keySet().retainAll(present);
	}

	private record Seen(SessionRecord record, long version, long changedNanos, int unchanged) {

	}

}
