package org.monsoonrelay.logic.routing;

import java.time.Duration;
import java.time.Instant;

import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostState;

/**
 * One backend server as this gateway sees it. A mark (leaving, ejected) belongs to an
 * incarnation, so that a replaced host starts clean. Not thread-safe: guarded by its
 * pool.
 */
final class BackendServer {

	private static final int FAILURES_TO_EJECT = 3;

	private static final Duration FIRST_EJECTION = Duration.ofSeconds(1);

	private static final int MAXIMUM_DOUBLINGS = 4;

	private Host host;

	private int inFlight;

	private int failuresInARow;

	private int ejections;

	private Instant ejectedUntil = Instant.MIN;

	private Instant fullUntil = Instant.MIN;

	private boolean leaving;

	BackendServer(Host host) {
		this.host = host;
		this.leaving = host.state() == HostState.LEAVING;
	}

	void update(Host listed) {
		if (!listed.incarnation().equals(this.host.incarnation())) {
			this.failuresInARow = 0;
			this.ejections = 0;
			this.ejectedUntil = Instant.MIN;
			this.fullUntil = Instant.MIN;
			this.leaving = false;
		}
		this.leaving |= listed.state() == HostState.LEAVING;
		this.host = listed;
	}

	void succeeded() {
		this.failuresInARow = 0;
		this.ejections = 0;
	}

	void failed(Instant now) {
		this.failuresInARow++;
		if (this.failuresInARow >= FAILURES_TO_EJECT) {
			int doublings = Math.min(this.ejections, MAXIMUM_DOUBLINGS);
			this.ejectedUntil = now.plus(FIRST_EJECTION.multipliedBy(1L << doublings));
			this.ejections++;
			this.failuresInARow = FAILURES_TO_EJECT - 1;
		}
	}

	void full(Instant until) {
		this.fullUntil = until;
	}

	void leave() {
		this.leaving = true;
	}

	boolean isEjected(Instant now) {
		return now.isBefore(this.ejectedUntil);
	}

	boolean isFull(Instant now) {
		return now.isBefore(this.fullUntil);
	}

	boolean isLeaving() {
		return this.leaving;
	}

	void begin() {
		this.inFlight++;
	}

	void end() {
		this.inFlight--;
	}

	int inFlight() {
		return this.inFlight;
	}

	Host host() {
		return this.host;
	}

	HostAddress address() {
		return this.host.address();
	}

}
