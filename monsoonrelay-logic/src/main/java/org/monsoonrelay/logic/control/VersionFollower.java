package org.monsoonrelay.logic.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import org.monsoonrelay.model.control.ControlHead;

/**
 * Keeps a process's version in force up to date, from the platform and, where that cannot
 * be reached, from peers. Invariants: at most one reading of the platform and one of a
 * peer are in flight; whatever way one ends, the next may begin. Thread-safe.
 */
public final class VersionFollower {

	private static final System.Logger LOGGER = System.getLogger(VersionFollower.class.getName());

	private final ControlLog log;

	private final ControlTracker tracker;

	private final AtomicBoolean polling = new AtomicBoolean();

	private final AtomicBoolean fetching = new AtomicBoolean();

	public VersionFollower(ControlLog log, ControlTracker tracker) {
		this.log = log;
		this.tracker = tracker;
	}

	/**
	 * Ask the platform for the head, unless an answer is awaited already.
	 * @return completes, never exceptionally, when the version is in force or cannot be
	 * had
	 */
	public CompletableFuture<Void> poll() {
		return once(this.polling, () -> this.log.head().thenCompose(this::follow), "the control head cannot be read");
	}

	private CompletableFuture<Void> follow(ControlHead head) {
		if (!isHigher(head.version())) {
			return CompletableFuture.completedFuture(null);
		}
		return this.log.state(head).thenAccept((state) -> this.tracker.offer(head, state));
	}

	/**
	 * A peer has announced its version; fetch it if it is higher.
	 * @param version the peer's version
	 * @param fetch asks the peer for it
	 * @return completes, never exceptionally, when the version is in force or cannot be
	 * had
	 */
	public CompletableFuture<Void> handleAnnouncement(long version, Supplier<CompletableFuture<ControlVersion>> fetch) {
		if (!isHigher(version)) {
			return CompletableFuture.completedFuture(null);
		}
		return once(this.fetching,
				() -> fetch.get().thenAccept((fetched) -> this.tracker.offer(fetched.head(), fetched.state())),
				"a peer's version cannot be had");
	}

	private boolean isHigher(long version) {
		return version > this.tracker.activeState().head().version();
	}

	private static CompletableFuture<Void> once(AtomicBoolean busy, Supplier<CompletableFuture<Void>> reading,
			String failed) {
		if (!busy.compareAndSet(false, true)) {
			return CompletableFuture.completedFuture(null);
		}
		return CompletableFuture.completedFuture(null).thenCompose((start) -> reading.get()).handle((done, failure) -> {
			busy.set(false);
			if (failure != null) {
				LOGGER.log(System.Logger.Level.DEBUG, failed, failure);
			}
			return null;
		});
	}

}
