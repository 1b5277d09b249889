package org.monsoonrelay.logic.routing;

import java.time.Duration;
import java.time.Instant;

import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostState;

/**
 * One incarnation of a backend server as this gateway sees it: a replaced host is another
 * object, so that it starts clean. Once leaving, it stays so. Not thread-safe: guarded by
 * its pool.
 */
final class BackendServer implements ServerLoad {

	private static final int EJECTION_FAILURE_THRESHOLD = 3;

	/** More than failures, since an error may be due to the requests. */
	private static final int EJECTION_ERROR_THRESHOLD = 10;

	private static final Duration INITIAL_EJECTION_DURATION = Duration.ofSeconds(1);

	private static final int MAXIMUM_EJECTION_DOUBLINGS = 4;

	/** After an ejection, one slot more is used each time this has passed. */
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
	 * Count an answer with a server error.
	 * @return {@code true} if the server has answered nothing else often enough to be
	 * ejected
	 */
	boolean recordServerError() {
		this.consecutiveErrors++;
		return this.consecutiveErrors >= EJECTION_ERROR_THRESHOLD;
	}

	/**
	 * Count a failed attempt.
	 * @return {@code true} if the server has failed often enough to be ejected
	 */
	boolean recordFailure() {
		this.consecutiveFailures++;
		return this.consecutiveFailures >= EJECTION_FAILURE_THRESHOLD;
	}

	void eject(Instant now) {
		int doublings = Math.min(this.ejections, MAXIMUM_EJECTION_DOUBLINGS);
		this.ejectedUntil = now.plus(INITIAL_EJECTION_DURATION.multipliedBy(1L << doublings));
		this.ejections++;
		// The first failure or error after its return ejects it again.
		this.consecutiveFailures = EJECTION_FAILURE_THRESHOLD - 1;
		this.consecutiveErrors = EJECTION_ERROR_THRESHOLD - 1;
	}

	void recordRefusal(Instant now, Duration pause) {
		this.lastRefusedAt = now;
		this.backoffUntil = now.plus(pause);
		this.inFlightAtRefusal = this.inFlight;
	}

	void markLeaving() {
		this.leaving = true;
	}

	boolean isEjected(Instant now) {
		return now.isBefore(this.ejectedUntil);
	}

	/**
	 * Tell whether the server may be given one more request. After an ejection it gets
	 * one slot at first and more as time passes; after a refusal it keeps those it had.
	 * @param now the present time
	 * @param most slots of the server that this gateway may use at most
	 * @return {@code true} if it may
	 */
	boolean hasFreeSlot(Instant now, int most) {
		int room = Math.min(most, slotsAfterEjection(now));
		if (now.isBefore(this.backoffUntil)) {
			room = Math.min(room, this.inFlightAtRefusal);
		}
		return this.inFlight < room;
	}

	private int slotsAfterEjection(Instant now) {
		if (this.ejectedUntil.equals(Instant.MIN)) {
			return Integer.MAX_VALUE;
		}
		long steps = Duration.between(this.ejectedUntil, now).dividedBy(SLOT_RECOVERY_INTERVAL);
		return (int) Math.min(Integer.MAX_VALUE, 1 + Math.max(0, steps));
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
