package org.monsoonrelay.logic.platform;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Decides when a follower asks for changes without a pause, as an answer with changes
 * seldom shows that no others follow it. That is shown by an empty answer, by one that is
 * continued beyond its rows, or once all changes are read up to a version that the table
 * had. Invariant: once the last proof is {@link #PROOF_MILLIS} old, the follower asks
 * without a pause until the next one, but for one pause after {@link #MAX_ANSWERS}
 * answers. Confined to the given executor.
 */
final class FeedCompleteness {

	/**
	 * How long one call waits for a change at most. A silent connection is noticed only
	 * after this time, which is part of the 2 s in which a change has to take effect.
	 */
	static final Duration MAX_WAIT = Duration.ofMillis(900);

	/**
	 * Time after which it has to be shown again that nothing follows, milliseconds:
	 * bounds the lag, and the age of what is known.
	 */
	static final long PROOF_MILLIS = 600;

	/** Keeps a follower of a table that changes all the time from too many calls. */
	static final int MAX_ANSWERS = 64;

	private static final long UNKNOWN = Long.MAX_VALUE;

	private final ScheduledExecutorService executor;

	private final Supplier<CompletableFuture<Long>> newestVersion;

	// Does nothing when it runs: its delay tells the time left on the executor's clock.
	private ScheduledFuture<?> due;

	private int answers;

	private int probes;

	private boolean probing;

	private long target = UNKNOWN;

	/**
	 * Create the state of a follower that has read nothing yet.
	 * @param executor a single thread
	 * @param newestVersion reads the newest version of the table
	 */
	FeedCompleteness(ScheduledExecutorService executor, Supplier<CompletableFuture<Long>> newestVersion) {
		this.executor = executor;
		this.newestVersion = newestVersion;
	}

	/**
	 * The time for which the next call may wait for a change.
	 * @return the time, zero if it has to be shown now that nothing follows
	 */
	Duration maxWait() {
		return Duration.ofMillis(Math.max(0, remainingMillis()));
	}

	private long remainingMillis() {
		return (this.due != null) ? this.due.getDelay(TimeUnit.MILLISECONDS) : PROOF_MILLIS;
	}

	/**
	 * Record an answer with changes.
	 * @param version the version up to which all changes have been delivered
	 * @param pause the time for which the follower would pause
	 * @return {@code true} if it has to ask at once
	 */
	boolean mustContinue(long version, Duration pause) {
		if (version >= this.target) {
			proved();
			return false;
		}
		boolean isDue = remainingMillis() <= 0 || pause.toMillis() >= PROOF_MILLIS;
		this.answers = isDue ? this.answers + 1 : 0;
		if (this.answers > MAX_ANSWERS) {
			this.answers = 0;
			return false;
		}
		return isDue;
	}

	/**
	 * Whether the follower asks without a pause until it is shown that nothing follows.
	 * @return {@code true} if so
	 */
	boolean isContinuing() {
		return this.answers > 0;
	}

	/**
	 * Read the newest version if the table changes too often for an empty answer.
	 * @return {@code true} if the call was sent
	 */
	boolean startProbe() {
		if (this.probing || this.answers < 2) {
			return false;
		}
		this.probing = true;
		int probe = ++this.probes;
		this.newestVersion.get().whenComplete(ExecutorCallback.on(this.executor, (version, failure) -> {
			if (!this.probing || probe != this.probes) {
				return;
			}
			this.probing = failure == null;
			this.target = (failure != null) ? UNKNOWN : version;
		}));
		return true;
	}

	/**
	 * Whether the newest version is being read, or read up to. The call for it was sent
	 * before all calls from now on.
	 * @return {@code true} if so
	 */
	boolean isProbing() {
		return this.probing;
	}

	/** Record that nothing followed. */
	void proved() {
		reset();
		this.due = this.executor.schedule(() -> {
		}, PROOF_MILLIS, TimeUnit.MILLISECONDS);
	}

	/** Forget what was recorded. */
	void reset() {
		this.answers = 0;
		this.probing = false;
		this.target = UNKNOWN;
		if (this.due != null) {
			this.due.cancel(false);
			this.due = null;
		}
	}

}
