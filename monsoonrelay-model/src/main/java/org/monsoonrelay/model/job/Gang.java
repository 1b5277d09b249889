package org.monsoonrelay.model.job;

import java.time.Instant;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * One attempt to reserve capacity for all tasks of a gang. Invariants: the task attempts
 * start together or not at all, and never after the start deadline or after the
 * reservation was abandoned; an abandoned reservation stays abandoned. Not thread-safe:
 * confined to the control thread of the queue's owner.
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
	 * Record that capacity is held for an attempt. Idempotent.
	 * @param attempt the attempt
	 */
	public void markHeld(AttemptId attempt) {
		this.missing.remove(attempt);
	}

	/**
	 * Check whether all attempts may be started now, and abandon the reservation
	 * otherwise, because the capacity held so far may expire or be needed by another
	 * gang.
	 * @param now the current time
	 * @return {@code true} if capacity is held for all attempts and the start deadline
	 * has not been reached
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
