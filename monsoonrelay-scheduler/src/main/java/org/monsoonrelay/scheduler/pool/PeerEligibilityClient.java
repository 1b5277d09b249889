package org.monsoonrelay.scheduler.pool;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.monsoonrelay.adapters.peer.PeerException;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.EligibilityReply;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.EligibilityRequest;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.logic.pool.EligibilityClient;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.platform.HttpEligibilityClient;

/**
 * Requests eligible workers from the eligibility service, from this host or through the
 * scheduler of another host. Thread-safe.
 */
final class PeerEligibilityClient implements EligibilityClient {

	private final String self;

	private final HttpEligibilityClient service;

	private final PeerNetwork network;

	private final Function<String, Optional<HostAddress>> addressOfHost;

	PeerEligibilityClient(String self, HttpEligibilityClient service, PeerNetwork network,
			Function<String, Optional<HostAddress>> addressOfHost) {
		this.self = self;
		this.service = service;
		this.network = network;
		this.addressOfHost = addressOfHost;
	}

	@Override
	public CompletableFuture<Map<String, String>> requestTickets(String host, StepKey step, List<String> workers,
			Duration timeout) {
		if (host.equals(this.self)) {
			return this.service.requestTickets(step.toString(), workers, timeout)
				.thenApply(PeerEligibilityClient::withInternedIds);
		}
		Optional<HostAddress> address = this.addressOfHost.apply(host);
		if (address.isEmpty()) {
			return CompletableFuture.failedFuture(new PeerException("no address of " + host, null));
		}
		Envelope.Builder request = Envelope.newBuilder()
			.setEligibilityRequest(EligibilityRequest.newBuilder().setStep(step.toString()).addAllWorkers(workers));
		return this.network.request(address.get(), request, timeout)
			.thenApply((reply) -> withInternedIds(reply.getEligibilityReply().getTicketsMap()));
	}

	/**
	 * Replace the ids of workers by their interned strings.
	 * @param tickets tickets by worker
	 * @return the tickets by interned id, which speeds up look-ups by the ids of workers
	 */
	static Map<String, String> withInternedIds(Map<String, String> tickets) {
		Map<String, String> interned = new HashMap<>();
		tickets.forEach((worker, ticket) -> interned.put(worker.intern(), ticket));
		return interned;
	}

	/**
	 * Call the eligibility service on behalf of a peer.
	 * @param request the peer's request
	 * @param remaining time until the request of the peer times out
	 * @return the reply
	 */
	CompletableFuture<Envelope.Builder> handleRequest(EligibilityRequest request, Duration remaining) {
		return this.service.requestTickets(request.getStep(), request.getWorkersList(), remaining)
			.thenApply((tickets) -> Envelope.newBuilder()
				.setEligibilityReply(EligibilityReply.newBuilder().putAllTickets(tickets)));
	}

}
