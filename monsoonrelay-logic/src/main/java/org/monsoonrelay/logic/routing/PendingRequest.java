package org.monsoonrelay.logic.routing;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.request.RequestOutcome;

/**
 * A request on its way, with the servers it has tried. Its outcome completes once. Each
 * field is used by one attempt at a time.
 */
final class PendingRequest {

	static final Comparator<PendingRequest> DISPATCH_ORDER = Comparator
		.comparing((PendingRequest waiting) -> waiting.request().operation().trafficClass())
		.thenComparing((waiting) -> waiting.request().deadline())
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
	 * Note that an attempt begins.
	 * @return {@code true} for the first one
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
