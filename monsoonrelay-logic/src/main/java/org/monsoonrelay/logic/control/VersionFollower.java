package org.monsoonrelay.logic.control;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;

import org.monsoonrelay.model.control.ControlHead;

/**
 * Keeps the active control state of a process up to date, from the platform or, if that
 * is unreachable, from peers. Invariant: at most one read from the platform and one from
 * a peer are in flight, and a failed read does not prevent the next one. Thread-safe.
 */
public final class VersionFollower {

	private static final System.Logger LOGGER = System.getLogger(VersionFollower.class.getName());

	private final ControlLog log;

	private final ControlTracker tracker;

	private final AtomicBoolean pollInFlight = new AtomicBoolean();

	private final AtomicBoolean fetchInFlight = new AtomicBoolean();

	public VersionFollower(ControlLog log, ControlTracker tracker) {
		this.log = log;
		this.tracker = tracker;
	}

	/**
	 * Read the head from the platform unless a read is already in flight.
	 * @return completes, never exceptionally, when the version is active or the read
	 * failed
	 */
	public CompletableFuture<Void> poll() {
		return runExclusively(this.pollInFlight, () -> this.log.head().thenCompose(this::activate),
				"failed to read the control head");
	}

	private CompletableFuture<Void> activate(ControlHead head) {
		if (!isHigher(head.version())) {
			return CompletableFuture.completedFuture(null);
		}
		return this.log.state(head).thenAccept((state) -> this.tracker.offer(head, state));
	}

	/**
	 * Handle a version announced by a peer: fetch it if it is higher than the active one.
	 * @param version the version of the peer
	 * @param fetch fetches the version from the peer
	 * @return completes, never exceptionally, when the version is active or the fetch
	 * failed
	 */
	public CompletableFuture<Void> handleAnnouncement(long version, Supplier<CompletableFuture<ControlVersion>> fetch) {
		if (!isHigher(version)) {
			return CompletableFuture.completedFuture(null);
		}
		return runExclusively(this.fetchInFlight,
				() -> fetch.get().thenAccept((fetched) -> this.tracker.offer(fetched.head(), fetched.state())),
				"failed to fetch the control version from a peer");
	}

	private boolean isHigher(long version) {
		return version > this.tracker.activeState().head().version();
	}

	private static CompletableFuture<Void> runExclusively(AtomicBoolean inFlight,
			Supplier<CompletableFuture<Void>> read, String failureMessage) {
		if (!inFlight.compareAndSet(false, true)) {
			return CompletableFuture.completedFuture(null);
		}
		return CompletableFuture.completedFuture(null).thenCompose((start) -> read.get()).handle((done, failure) -> {
			inFlight.set(false);
			if (failure != null) {
				LOGGER.log(System.Logger.Level.DEBUG, failureMessage, failure);
			}
			return null;
		});
	}

}
