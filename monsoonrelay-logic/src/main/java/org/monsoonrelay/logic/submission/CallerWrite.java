package org.monsoonrelay.logic.submission;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;

/**
 * One write on behalf of a caller, from its first try to the caller's answer. A try
 * without an answer does not end the write's chance: it is conditional, so that a repeat
 * settles what became of it. Invariants: the outcome is told once, and no try begins
 * after it; {@code NOT_ACCEPTED} is told only if each try is known to have done nothing,
 * and then at once. Thread-safe.
 */
final class CallerWrite {

	/** Pause before a write that was turned down is tried again, milliseconds. */
	private static final long PAUSE_MILLIS = 60;

	/**
	 * A try without an answer for this long is joined by one through another host,
	 * milliseconds: the table may be silent to this host alone. A write takes 14 ms, and
	 * 560 ms while the table is sixty times as slow.
	 */
	private static final long HEDGE_MILLIS = 700;

	/** Kept back from the caller's time for the answer's way, milliseconds. */
	private static final long MARGIN_MILLIS = 120;

	private final WritePaths paths;

	private final PartitionWrite write;

	private final LongConsumer whenStored;

	private final ScheduledExecutorService timer;

	private final long deadlineNanos;

	private final CompletableFuture<AcceptOutcome> outcome = new CompletableFuture<>();

	private boolean unknown;

	private int inFlight;

	private boolean over;

	/**
	 * Create a write.
	 * @param paths how it can be stored
	 * @param write the write
	 * @param whenStored told of the row's version
	 * @param timer for repeats
	 * @param deadlineNanos until when the caller waits, on the steady clock
	 */
	CallerWrite(WritePaths paths, PartitionWrite write, LongConsumer whenStored, ScheduledExecutorService timer,
			long deadlineNanos) {
		this.paths = paths;
		this.write = write;
		this.whenStored = whenStored;
		this.timer = timer;
		this.deadlineNanos = deadlineNanos;
	}

	/**
	 * Begin to try.
	 * @return what the caller is told
	 */
	CompletableFuture<AcceptOutcome> begin() {
		long left = leftMillis();
		cancelOnceTold(this.timer.schedule(this::giveUp, Math.max(0, left), TimeUnit.MILLISECONDS));
		if (left > HEDGE_MILLIS) {
			cancelOnceTold(this.timer.schedule(this::hedge, HEDGE_MILLIS, TimeUnit.MILLISECONDS));
		}
		next();
		return this.outcome;
	}

	// The timer would keep the write and its job for the rest of the caller's time.
	private void cancelOnceTold(Future<?> task) {
		this.outcome.whenComplete((told, failure) -> task.cancel(false));
	}

	private long leftMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.deadlineNanos - this.paths.nanoTime()) - MARGIN_MILLIS;
	}

	private void next() {
		boolean isTried = this.paths.isDirectPathOpen()
				? attempt(() -> Optional.of(this.paths.writeDirectly(this.write)))
				: attempt(() -> this.paths.writeThroughPeer(this.write));
		if (!isTried) {
			// The caller had better try another host than wait for this one.
			giveUp();
		}
	}

	private void hedge() {
		if (this.paths.isDirectPathOpen()) {
			attempt(() -> this.paths.writeThroughPeer(this.write));
		}
	}

	// A try counts as on its way before it is sent: a caller whose time is over meanwhile
	// must not be told that nothing was done.
	private boolean attempt(Supplier<Optional<CompletableFuture<PartitionCommit>>> way) {
		synchronized (this) {
			if (this.over) {
				return true;
			}
			this.inFlight++;
		}
		Optional<CompletableFuture<PartitionCommit>> answer = way.get();
		if (answer.isEmpty()) {
			isLast(false);
			return false;
		}
		answer.get().whenComplete((commit, failure) -> {
			boolean isUnknown = !(commit instanceof PartitionCommit.NotDone);
			if (commit instanceof PartitionCommit.Committed committed) {
				this.whenStored.accept(committed.version());
				accept();
			}
			else if (commit instanceof PartitionCommit.Conflict) {
				accept();
			}
			else if (isLast(isUnknown)) {
				later();
			}
		});
		return true;
	}

	private synchronized boolean isLast(boolean isUnknown) {
		this.unknown |= isUnknown;
		this.inFlight--;
		return this.inFlight == 0;
	}

	private void later() {
		this.timer.schedule(this::next, PAUSE_MILLIS, TimeUnit.MILLISECONDS);
	}

	private void accept() {
		synchronized (this) {
			if (this.over) {
				return;
			}
			this.over = true;
		}
		this.outcome.complete(AcceptOutcome.ACCEPTED);
	}

	private void giveUp() {
		boolean mayBeStored;
		synchronized (this) {
			if (this.over) {
				return;
			}
			this.over = true;
			mayBeStored = this.unknown || this.inFlight > 0;
		}
		this.outcome.complete(mayBeStored ? AcceptOutcome.UNKNOWN : AcceptOutcome.NOT_ACCEPTED);
	}

	/** The paths to the table. Thread-safe and not blocking. */
	interface WritePaths {

		/**
		 * The steady clock.
		 * @return nanoseconds
		 */
		long nanoTime();

		/**
		 * Whether the table takes this host's writes, as far as is known.
		 * @return {@code true} if a direct write is worth a try
		 */
		boolean isDirectPathOpen();

		/**
		 * Write to the table.
		 * @param write the write
		 * @return what became of it, never failing
		 */
		CompletableFuture<PartitionCommit> writeDirectly(PartitionWrite write);

		/**
		 * Have another host write.
		 * @param write the write
		 * @return what became of it, never failing; empty if no host is known that could
		 */
		Optional<CompletableFuture<PartitionCommit>> writeThroughPeer(PartitionWrite write);

	}

}
