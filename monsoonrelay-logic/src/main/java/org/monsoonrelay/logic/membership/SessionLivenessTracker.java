package org.monsoonrelay.logic.membership;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.monsoonrelay.model.membership.SessionRecord;

/**
 * Tracks which sessions are live and which have expired. A session has expired if the
 * version of its row has not changed for the expiry time, on this process's monotonic
 * clock, and over several reads. The number of reads matters because renewals go
 * unnoticed while the store is slow or down or this process is frozen. No wall clock is
 * used. A session counts as live when it is first seen. Not thread-safe: confined to the
 * control thread.
 */
public final class SessionLivenessTracker {

	private static final int MIN_UNCHANGED_READS = 5;

	private final long expiryNanos;

	private final Map<String, TrackedSession> trackedSessions = new HashMap<>();

	public SessionLivenessTracker(Duration expiry) {
		this.expiryNanos = expiry.toNanos();
	}

	/**
	 * Record a read of a session's row.
	 * @param record the row's value
	 * @param version the row's version
	 * @param nowNanos monotonic time of the read, nanoseconds
	 */
	public void observe(SessionRecord record, long version, long nowNanos) {
		TrackedSession previous = this.trackedSessions.get(record.session());
		if (previous == null || previous.version != version) {
			this.trackedSessions.put(record.session(), new TrackedSession(record, version, nowNanos, 0));
		}
		else {
			this.trackedSessions.put(record.session(),
					new TrackedSession(record, version, previous.changedNanos, previous.unchangedReads + 1));
		}
	}

	/**
	 * The live sessions.
	 * @param nowNanos the current monotonic time, nanoseconds
	 * @return their records, ordered by session
	 */
	public List<SessionRecord> live(long nowNanos) {
		return this.trackedSessions.values()
			.stream()
			.filter((entry) -> !entry.record.hasEnded() && !hasExpired(entry, nowNanos))
			.map(TrackedSession::record)
			.sorted(Comparator.comparing(SessionRecord::session))
			.toList();
	}

	private boolean hasExpired(TrackedSession entry, long nowNanos) {
		return entry.unchangedReads >= MIN_UNCHANGED_READS && nowNanos - entry.changedNanos >= this.expiryNanos;
	}

	/**
	 * Remove sessions whose rows no longer exist.
	 * @param existing the sessions that have rows
	 */
	public void retain(Set<String> existing) {
		this.trackedSessions.keySet().retainAll(existing);
	}

	private record TrackedSession(SessionRecord record, long version, long changedNanos, int unchangedReads) {

	}

}
