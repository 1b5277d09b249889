package org.monsoonrelay.logic.routing;

import java.time.Duration;
import java.time.Instant;

import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostState;

/**
 * State of one incarnation of a backend server, as observed by this gateway. A host that
 * is replaced or restarted gets a new object, so that no state of its predecessor applies
 * to it. A leaving server never becomes active again. Not thread-safe: guarded by its
 * pool.
 */
final class BackendServer implements ServerLoad {

	private static final int EJECTION_FAILURE_THRESHOLD = 3;

	/**
	 * Higher than the failure threshold, because server errors may be caused by the
	 * requests.
	 */
	private static final int EJECTION_ERROR_THRESHOLD = 10;

	private static final Duration INITIAL_EJECTION_DURATION = Duration.ofSeconds(1);

	private static final int MAXIMUM_EJECTION_DOUBLINGS = 4;

	/** Interval after which one more slot is used again following an ejection. */
	private static final Duration SLOT_RECOVERY_INTERVAL = Duration.ofMillis(500);

	private final String incarnation;

	private final HostAddress address;

	private final boolean inSameFailureDomain;

	private int inFlight;

	private int consecutiveFailures;

	private int consecutiveErrors;

	private int ejections;

	private Instant ejectedUntil = Instant.MIN;

	private Instant lastRefusedAt = Instant.MIN;

	private Instant backoffUntil = Instant.MIN;

	private int inFlightAtRefusal;

	private Instant slotFreedAt = Instant.MIN;

	private boolean leaving;

	BackendServer(Host host, String ownFailureDomain) {
		this.incarnation = host.incarnation();
		this.address = host.address();
		this.inSameFailureDomain = host.failureDomain().equals(ownFailureDomain);
		this.leaving = host.state() == HostState.LEAVING;
	}

	void updateState(HostState state) {
		this.leaving |= state == HostState.LEAVING;
	}

	void recordAnswer(Instant now) {
		this.slotFreedAt = now;
		this.consecutiveFailures = 0;
	}

	void recordSuccess() {
		this.consecutiveErrors = 0;
		this.ejections = 0;
	}

	/**
	 * Record a response with a server error.
	 * @return {@code true} if there have been enough consecutive errors to eject the
	 * server
	 */
	boolean recordServerError() {
		this.consecutiveErrors++;
		return this.consecutiveErrors >= EJECTION_ERROR_THRESHOLD;
	}

	/**
	 * Record a failed attempt.
	 * @return {@code true} if there have been enough consecutive failures to eject the
	 * server
	 */
	boolean recordFailure() {
		this.consecutiveFailures++;
		return this.consecutiveFailures >= EJECTION_FAILURE_THRESHOLD;
	}

	void eject(Instant now) {
		int doublings = Math.min(this.ejections, MAXIMUM_EJECTION_DOUBLINGS);
		this.ejectedUntil = now.plus(INITIAL_EJECTION_DURATION.multipliedBy(1L << doublings));
		this.ejections++;
		// The first failure or error after the ejection ejects the server again.
		this.consecutiveFailures = EJECTION_FAILURE_THRESHOLD - 1;
		this.consecutiveErrors = EJECTION_ERROR_THRESHOLD - 1;
	}

	void recordRefusal(Instant now, Duration delay) {
		this.lastRefusedAt = now;
		this.backoffUntil = now.plus(delay);
		this.inFlightAtRefusal = this.inFlight;
	}

	void markLeaving() {
		this.leaving = true;
	}

	boolean isEjected(Instant now) {
		return now.isBefore(this.ejectedUntil);
	}

	/**
	 * Return whether the server can be given one more request. After an ejection, one
	 * slot is available at first, and one more after each recovery interval. During the
	 * backoff after a refusal, no more slots are available than were in use when the
	 * server refused.
	 * @param now the current time
	 * @param maximumSlots maximum number of slots that this gateway may use
	 * @return {@code true} if a slot is free
	 */
	boolean hasFreeSlot(Instant now, int maximumSlots) {
		int availableSlots = Math.min(maximumSlots, slotsAfterEjection(now));
		if (now.isBefore(this.backoffUntil)) {
			availableSlots = Math.min(availableSlots, this.inFlightAtRefusal);
		}
		return this.inFlight < availableSlots;
	}

	private int slotsAfterEjection(Instant now) {
		if (this.ejectedUntil.equals(Instant.MIN)) {
			return Integer.MAX_VALUE;
		}
		long intervals = Duration.between(this.ejectedUntil, now).dividedBy(SLOT_RECOVERY_INTERVAL);
		return (int) Math.min(Integer.MAX_VALUE, 1 + Math.max(0, intervals));
	}

	boolean isLeaving() {
		return this.leaving;
	}

	void occupySlot() {
		this.inFlight++;
		this.slotFreedAt = Instant.MIN;
	}

	void freeSlot() {
		this.inFlight--;
	}

	String incarnation() {
		return this.incarnation;
	}

	HostAddress address() {
		return this.address;
	}

	@Override
	public int inFlight() {
		return this.inFlight;
	}

	@Override
	public boolean isInSameFailureDomain() {
		return this.inSameFailureDomain;
	}

	@Override
	public Instant lastRefusedAt() {
		return this.lastRefusedAt;
	}

	@Override
	public Instant slotFreedAt() {
		return this.slotFreedAt;
	}

}
