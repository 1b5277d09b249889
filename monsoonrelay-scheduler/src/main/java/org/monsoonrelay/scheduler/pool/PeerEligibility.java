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
import org.monsoonrelay.platform.HttpEligibility;

/**
 * Asks for eligible workers from this host or, through its scheduler, from another one.
 * Thread-safe.
 */
final class PeerEligibility implements EligibilityClient {

	private final String self;

	private final HttpEligibility service;

	private final PeerNetwork network;

	private final Function<String, Optional<HostAddress>> addresses;

	PeerEligibility(String self, HttpEligibility service, PeerNetwork network,
			Function<String, Optional<HostAddress>> addresses) {
		this.self = self;
		this.service = service;
		this.network = network;
		this.addresses = addresses;
	}

	@Override
	public CompletableFuture<Map<String, String>> requestTickets(String host, StepKey step, List<String> workers,
			Duration timeout) {
		if (host.equals(this.self)) {
			return this.service.ask(step.toString(), workers, timeout).thenApply(PeerEligibility::withKnownIds);
		}
		Optional<HostAddress> address = this.addresses.apply(host);
		if (address.isEmpty()) {
			return CompletableFuture.failedFuture(new PeerException("no address of " + host, null));
		}
		Envelope.Builder request = Envelope.newBuilder()
			.setEligibilityRequest(EligibilityRequest.newBuilder().setStep(step.toString()).addAllWorkers(workers));
		return this.network.request(address.get(), request, timeout)
			.thenApply((reply) -> withKnownIds(reply.getEligibilityReply().getTicketsMap()));
	}

	/**
	 * The same tickets under the strings by which workers are known.
	 * @param tickets tickets by worker
	 * @return the tickets, looked up faster by the ids of workers
	 */
	static Map<String, String> withKnownIds(Map<String, String> tickets) {
		Map<String, String> known = new HashMap<>();
		tickets.forEach((worker, ticket) -> known.put(worker.intern(), ticket));
		return known;
	}

	/**
	 * Make a call that a peer asks for.
	 * @param request the peer's request
	 * @param remaining how long the peer waits
	 * @return the reply
	 */
	CompletableFuture<Envelope.Builder> answer(EligibilityRequest request, Duration remaining) {
		return this.service.ask(request.getStep(), request.getWorkersList(), remaining)
			.thenApply((tickets) -> Envelope.newBuilder()
				.setEligibilityReply(EligibilityReply.newBuilder().putAllTickets(tickets)));
	}

}
