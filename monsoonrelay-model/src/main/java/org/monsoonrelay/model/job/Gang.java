package org.monsoonrelay.model.job;

import java.time.Instant;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * One try to hold room for all tasks of a job that need each other. Invariants: the
 * attempts start together or not at all, and never once the time to start by has come or
 * the try was given up; a try that was given up stays so. Not thread-safe: confined to
 * the control thread of the queue's owner.
 */
public final class Gang {

	private final Set<AttemptId> missing;

	private final Instant startBy;

	private boolean abandoned;

	public Gang(Collection<AttemptId> attempts, Instant startBy) {
		this.missing = new HashSet<>(attempts);
		this.startBy = startBy;
	}

	/**
	 * Note that room is held for an attempt. Idempotent.
	 * @param attempt the attempt
	 */
	public void markHeld(AttemptId attempt) {
		this.missing.remove(attempt);
	}

	/**
	 * Tell whether all attempts may be started now. Gives the try up if not, because room
	 * that was held so far may lapse or is wanted by another gang.
	 * @param now the current time
	 * @return {@code true} if room is held for all and the time has not come
	 */
	public boolean startOrAbandon(Instant now) {
		if (!this.missing.isEmpty() || !now.isBefore(this.startBy)) {
			this.abandoned = true;
		}
		return !this.abandoned;
	}

	public boolean isAbandoned() {
		return this.abandoned;
	}

}
