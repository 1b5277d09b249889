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
final class WaitingRequest {

	static final Comparator<WaitingRequest> ORDER = Comparator
		.comparing((WaitingRequest waiting) -> waiting.request().operation().trafficClass())
		.thenComparing((waiting) -> waiting.request().deadline())
		.thenComparingLong(WaitingRequest::sequence);

	private final ForwardedRequest request;

	private final long sequence;

	private final CompletableFuture<RequestOutcome> outcome = new CompletableFuture<>();

	private final Set<HostAddress> tried = new HashSet<>();

	private volatile boolean sent;

	private volatile boolean mayHaveRun;

	WaitingRequest(ForwardedRequest request, long sequence) {
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
	boolean beginAttempt() {
		boolean first = !this.sent;
		this.sent = true;
		return first;
	}

	void markMayHaveRun() {
		this.mayHaveRun = true;
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	Set<HostAddress> tried() {
		return this.tried;
	}

}
