package org.monsoonrelay.logic.submission;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.TableRow;

/**
 * One write on behalf of a caller, from the first attempt until the caller is answered.
 * An attempt whose outcome is unknown is retried: the write is conditional, so a retry
 * determines whether an earlier attempt took effect. Invariants: the outcome is completed
 * once, and no attempt starts afterwards; the outcome is {@code NOT_ACCEPTED} only if
 * every attempt is known to have had no effect, and is then reported at once if no path
 * to the table is available, without waiting for the caller's deadline. An unknown
 * outcome is also reported at once in that case. A write that the table rejects is not
 * retried, as each attempt has the same content; it is {@code INVALID} only if no other
 * attempt may have taken effect. No attempt is sent once the permit of the request has
 * ended. Thread-safe.
 */
final class CallerWrite {

	/** Delay before a rejected write is retried, milliseconds. */
	private static final long RETRY_DELAY_MILLIS = 60;

	/**
	 * Time without an answer after which the write is also sent through another host,
	 * milliseconds: the table may be unreachable from this host only. A write takes 14
	 * ms, and 560 ms while the table is 60 times slower than usual.
	 */
	private static final long HEDGE_DELAY_MILLIS = 700;

	/**
	 * Part of the caller's timeout reserved for delivering the response, milliseconds.
	 */
	private static final long RESPONSE_MARGIN_MILLIS = 120;

	private final WritePaths paths;

	private final PartitionWrite write;

	private final BooleanSupplier permit;

	private final StoredListener listener;

	private final ScheduledExecutorService timer;

	private final long deadlineNanos;

	private final CompletableFuture<AcceptOutcome> outcome = new CompletableFuture<>();

	private boolean anyOutcomeUnknown;

	private int inFlight;

	private boolean completed;

	/**
	 * Create a write.
	 * @param paths the paths to the table
	 * @param write the write
	 * @param permit whether the write may still be sent
	 * @param listener told of the stored row, or that there was one
	 * @param timer schedules retries
	 * @param deadlineNanos the deadline of the caller on the monotonic clock, nanoseconds
	 */
	CallerWrite(WritePaths paths, PartitionWrite write, BooleanSupplier permit, StoredListener listener,
			ScheduledExecutorService timer, long deadlineNanos) {
		this.paths = paths;
		this.write = write;
		this.permit = permit;
		this.listener = listener;
		this.timer = timer;
		this.deadlineNanos = deadlineNanos;
	}

	/**
	 * Start the first attempt.
	 * @return the outcome for the caller, never failing
	 */
	CompletableFuture<AcceptOutcome> start() {
		long remainingMillis = remainingMillis();
		cancelOnCompletion(
				this.timer.schedule(this::completeUnsuccessfully, Math.max(0, remainingMillis), TimeUnit.MILLISECONDS));
		if (remainingMillis > HEDGE_DELAY_MILLIS) {
			cancelOnCompletion(this.timer.schedule(this::hedge, HEDGE_DELAY_MILLIS, TimeUnit.MILLISECONDS));
		}
		startAttempt();
		return this.outcome;
	}

	// Otherwise the timer would retain the write and its job until the caller's deadline.
	private void cancelOnCompletion(Future<?> task) {
		this.outcome.whenComplete((result, failure) -> task.cancel(false));
	}

	private long remainingMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.deadlineNanos - this.paths.nanoTime()) - RESPONSE_MARGIN_MILLIS;
	}

	private void startAttempt() {
		boolean isAttempted = this.permit.getAsBoolean()
				&& (this.paths.isDirectPathOpen() ? attempt(() -> Optional.of(this.paths.writeDirectly(this.write)))
						: attempt(() -> this.paths.writeThroughPeer(this.write)));
		if (!isAttempted) {
			// No path is available: answer now, so that the caller can try another host.
			completeUnsuccessfully();
		}
	}

	private void hedge() {
		if (this.permit.getAsBoolean() && this.paths.isDirectPathOpen()) {
			attempt(() -> this.paths.writeThroughPeer(this.write));
		}
	}

	// Counts the attempt as in flight before it is sent: a caller whose deadline passes
	// meanwhile must not be answered NOT_ACCEPTED.
	private boolean attempt(Supplier<Optional<CompletableFuture<PartitionCommit>>> path) {
		synchronized (this) {
			if (this.completed) {
				return true;
			}
			this.inFlight++;
		}
		Optional<CompletableFuture<PartitionCommit>> answer = path.get();
		if (answer.isEmpty()) {
			recordCompletion(false);
			return false;
		}
		answer.get().whenComplete((commit, failure) -> {
			boolean isUnknown = !(commit instanceof PartitionCommit.NotDone);
			if (commit instanceof PartitionCommit.Committed committed) {
				this.listener.stored(committed.version());
				complete(this.listener.storedOutcome());
			}
			else if (commit instanceof PartitionCommit.Conflict conflict) {
				completeByExistingRow(conflict.current());
			}
			else if (commit instanceof PartitionCommit.Rejected) {
				recordCompletion(false);
				completeAsRejected();
			}
			else if (recordCompletion(isUnknown)) {
				scheduleRetry();
			}
		});
		return true;
	}

	// The answer is about this attempt: an earlier one, or one in flight, may have taken
	// effect all the same.
	private void completeAsRejected() {
		if (mayBeStored()) {
			completeUnsuccessfully();
		}
		else {
			complete(AcceptOutcome.INVALID);
		}
	}

	private synchronized boolean mayBeStored() {
		return this.anyOutcomeUnknown || this.inFlight > 0;
	}

	private synchronized boolean recordCompletion(boolean isUnknown) {
		this.anyOutcomeUnknown |= isUnknown;
		this.inFlight--;
		return this.inFlight == 0;
	}

	private void scheduleRetry() {
		this.timer.schedule(this::startAttempt, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
	}

	// Still counts as in flight, so that the caller's deadline makes it an unknown
	// outcome.
	private void completeByExistingRow(List<TableRow> current) {
		this.listener.found(current).whenComplete((result, failure) -> {
			if (failure == null) {
				complete(result);
			}
			else if (recordCompletion(true)) {
				scheduleRetry();
			}
		});
	}

	private void complete(AcceptOutcome result) {
		synchronized (this) {
			if (this.completed) {
				return;
			}
			this.completed = true;
		}
		this.outcome.complete(result);
	}

	private void completeUnsuccessfully() {
		boolean mayBeStored;
		synchronized (this) {
			if (this.completed) {
				return;
			}
			this.completed = true;
			mayBeStored = mayBeStored();
		}
		this.outcome.complete(mayBeStored ? AcceptOutcome.UNKNOWN : AcceptOutcome.NOT_ACCEPTED);
	}

	/** Receives what became of the row. Implementations are thread-safe. */
	interface StoredListener {

		/**
		 * The row was stored.
		 * @param version the version of the row
		 */
		void stored(long version);

		/**
		 * The outcome for the caller if the row was stored.
		 * @return the outcome
		 */
		default AcceptOutcome storedOutcome() {
			return AcceptOutcome.ACCEPTED;
		}

		/**
		 * A condition of the write does not hold, mostly as the row exists already, by an
		 * earlier attempt or another request.
		 * @param current the existing rows among those named in the conditions, empty if
		 * they are not known
		 * @return the outcome for the caller, failing if it cannot be determined now
		 */
		default CompletableFuture<AcceptOutcome> found(List<TableRow> current) {
			return CompletableFuture.completedFuture(AcceptOutcome.ACCEPTED);
		}

	}

	/** The paths to the table. Implementations are thread-safe and do not block. */
	interface WritePaths {

		/**
		 * The monotonic clock.
		 * @return the current time in nanoseconds
		 */
		long nanoTime();

		/**
		 * Whether the table is expected to accept direct writes of this host.
		 * @return {@code true} if a direct write should be attempted
		 */
		boolean isDirectPathOpen();

		/**
		 * Write to the table directly.
		 * @param write the write
		 * @return the outcome, never failing
		 */
		CompletableFuture<PartitionCommit> writeDirectly(PartitionWrite write);

		/**
		 * Write through another host.
		 * @param write the write
		 * @return the outcome, never failing; empty if no suitable host is known
		 */
		Optional<CompletableFuture<PartitionCommit>> writeThroughPeer(PartitionWrite write);

	}

}
