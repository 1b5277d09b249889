package org.monsoonrelay.logic.writes;

import java.util.ArrayList;
import java.util.List;

/**
 * One composed write from its first attempt until its outcome is known. Invariants: it
 * counts as without effect only while every attempt is known to have had none; an attempt
 * that is refused says nothing about those before it. Not thread-safe: confined to the
 * control thread.
 *
 * @param <W> what is written
 */
public final class PendingWrite<W> {

	/** Maximum number of attempts that are told one by one. */
	private static final int MAX_TOLD_ATTEMPTS = 8;

	private final long number;

	private final W write;

	private final long composedNanos;

	private final List<String> attempts = new ArrayList<>();

	private int attemptCount;

	private boolean mayTakeEffect;

	/**
	 * Creates a write that was not sent yet.
	 * @param number identity of the write, unique in its term
	 * @param write what is written
	 * @param composedNanos monotonic time at which it was composed
	 */
	public PendingWrite(long number, W write, long composedNanos) {
		this.number = number;
		this.write = write;
		this.composedNanos = composedNanos;
	}

	/**
	 * Records an attempt that was not answered, so that it may have taken effect or may
	 * do so later.
	 */
	public void attemptUnanswered() {
		this.mayTakeEffect = true;
		record("UNANSWERED");
	}

	/**
	 * Records an attempt that had no effect.
	 * @param reason the answer
	 */
	public void attemptRefused(String reason) {
		record("REFUSED: " + reason);
	}

	private void record(String attempt) {
		this.attemptCount++;
		if (this.attempts.size() < MAX_TOLD_ATTEMPTS) {
			this.attempts.add(attempt);
		}
	}

	/**
	 * Returns whether an attempt so far may have taken effect, or may do so later.
	 * @return {@code false} if every one is known to have had no effect
	 */
	public boolean mayTakeEffect() {
		return this.mayTakeEffect;
	}

	public long number() {
		return this.number;
	}

	public W write() {
		return this.write;
	}

	/**
	 * Returns when the write was composed.
	 * @return monotonic time, nanoseconds
	 */
	public long composedNanos() {
		return this.composedNanos;
	}

	/**
	 * Returns the number of attempts that were refused or not answered.
	 * @return the number
	 */
	public int attemptCount() {
		return this.attemptCount;
	}

	/**
	 * Returns what became of the first of these attempts.
	 * @return one text for each attempt, in the order in which they were sent
	 */
	public List<String> attempts() {
		return List.copyOf(this.attempts);
	}

}
