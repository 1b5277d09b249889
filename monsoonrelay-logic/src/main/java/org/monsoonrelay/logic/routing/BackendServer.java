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

	private static final int FAILURES_TO_EJECT = 3;

	/** More than failures, since an error may be due to the requests. */
	private static final int ERRORS_TO_EJECT = 10;

	private static final Duration FIRST_EJECTION = Duration.ofSeconds(1);

	private static final int MAXIMUM_DOUBLINGS = 4;

	/** After an ejection, one slot more is used each time this has passed. */
	private static final Duration RETURN_STEP = Duration.ofMillis(500);

	private final String incarnation;

	private final HostAddress address;

	private final boolean near;

	private int inFlight;

	private int failuresInARow;

	private int errorsInARow;

	private int ejections;

	private Instant ejectedUntil = Instant.MIN;

	private Instant refusedAt = Instant.MIN;

	private Instant pausedUntil = Instant.MIN;

	private int refusedInFlight;

	private Instant freedAt = Instant.MIN;

	private boolean leaving;

	BackendServer(Host host, String ownFailureDomain) {
		this.incarnation = host.incarnation();
		this.address = host.address();
		this.near = host.failureDomain().equals(ownFailureDomain);
		this.leaving = host.state() == HostState.LEAVING;
	}

	void listed(HostState state) {
		this.leaving |= state == HostState.LEAVING;
	}

	void answered(Instant now) {
		this.freedAt = now;
		this.failuresInARow = 0;
	}

	void succeeded() {
		this.errorsInARow = 0;
		this.ejections = 0;
	}

	/**
	 * Count an answer with a server error.
	 * @return {@code true} if the server has answered nothing else often enough to be
	 * ejected
	 */
	boolean answeredWithError() {
		this.errorsInARow++;
		return this.errorsInARow >= ERRORS_TO_EJECT;
	}

	/**
	 * Count a failed attempt.
	 * @return {@code true} if the server has failed often enough to be ejected
	 */
	boolean failed() {
		this.failuresInARow++;
		return this.failuresInARow >= FAILURES_TO_EJECT;
	}

	void eject(Instant now) {
		int doublings = Math.min(this.ejections, MAXIMUM_DOUBLINGS);
		this.ejectedUntil = now.plus(FIRST_EJECTION.multipliedBy(1L << doublings));
		this.ejections++;
		// The first failure or error after its return ejects it again.
		this.failuresInARow = FAILURES_TO_EJECT - 1;
		this.errorsInARow = ERRORS_TO_EJECT - 1;
	}

	void refused(Instant now, Duration pause) {
		this.refusedAt = now;
		this.pausedUntil = now.plus(pause);
		this.refusedInFlight = this.inFlight;
	}

	void leave() {
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
	boolean hasRoom(Instant now, int most) {
		int room = Math.min(most, returned(now));
		if (now.isBefore(this.pausedUntil)) {
			room = Math.min(room, this.refusedInFlight);
		}
		return this.inFlight < room;
	}

	private int returned(Instant now) {
		if (this.ejectedUntil.equals(Instant.MIN)) {
			return Integer.MAX_VALUE;
		}
		long steps = Duration.between(this.ejectedUntil, now).dividedBy(RETURN_STEP);
		return (int) Math.min(Integer.MAX_VALUE, 1 + Math.max(0, steps));
	}

	boolean isLeaving() {
		return this.leaving;
	}

	void begin() {
		this.inFlight++;
		this.freedAt = Instant.MIN;
	}

	void end() {
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
	public boolean isNear() {
		return this.near;
	}

	@Override
	public Instant refusedAt() {
		return this.refusedAt;
	}

	@Override
	public Instant freedAt() {
		return this.freedAt;
	}

}
