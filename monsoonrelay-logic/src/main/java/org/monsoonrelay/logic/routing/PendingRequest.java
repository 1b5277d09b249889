package org.monsoonrelay.logic.routing;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.request.RequestOutcome;

/**
 * Request that is waiting for a slot or in flight, with the servers it has been sent to.
 * The outcome is completed once. At any time, at most one attempt uses the fields.
 */
final class PendingRequest {

	static final Comparator<PendingRequest> DISPATCH_ORDER = Comparator
		.comparing((PendingRequest pending) -> pending.request().operation().trafficClass())
		.thenComparing((pending) -> pending.request().deadline())
		.thenComparingLong(PendingRequest::sequence);

	private final ForwardedRequest request;

	private final long sequence;

	private final CompletableFuture<RequestOutcome> outcome = new CompletableFuture<>();

	private final Set<HostAddress> triedServers = new HashSet<>();

	private volatile boolean attempted;

	private volatile boolean mayHaveRun;

	PendingRequest(ForwardedRequest request, long sequence) {
		this.request = request;
		this.sequence = sequence;
	}

	ForwardedRequest request() {
		return this.request;
	}

	long sequence() {
		return this.sequence;
	}

	CompletableFuture<RequestOutcome> outcome() {
		return this.outcome;
	}

	/**
	 * Record the start of an attempt.
	 * @return {@code true} if it is the first attempt
	 */
	boolean markAttempted() {
		boolean first = !this.attempted;
		this.attempted = true;
		return first;
	}

	void markMayHaveRun() {
		this.mayHaveRun = true;
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	Set<HostAddress> triedServers() {
		return this.triedServers;
	}

}
