package org.monsoonrelay.scheduler;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.BiFunction;

import org.monsoonrelay.adapters.peer.PeerCodec;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.queue.QueueManager;
import org.monsoonrelay.logic.rack.RackManager;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Delivers the events of owned racks to the owners of the teams' queues, in this process
 * or at a peer, and repeats them until they are acknowledged. Invariants: at most one
 * delivery per team is in flight to an owner, and one to a former owner delays none to
 * the present one; what a former owner acknowledges counts only for the end of an
 * attempt, which it has stored. Not thread-safe: confined to the control thread.
 */
final class EventDelivery {

	/** Maximum time to wait for the reply of a peer. */
	static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

	private final RackManager racks;

	private final QueueManager queues;

	private final PeerDirectory peers;

	private final BiFunction<HostAddress, Envelope.Builder, CompletableFuture<Envelope>> peerRequest;

	private final Executor control;

	private final Set<Recipient> recipientsInFlight = new HashSet<>();

	/**
	 * Create a delivery.
	 * @param racks the racks that this process owns
	 * @param queues the queues that this process owns
	 * @param peers the other processes
	 * @param peerRequest sends a request to a peer and returns its reply
	 * @param control the control thread
	 */
	EventDelivery(RackManager racks, QueueManager queues, PeerDirectory peers,
			BiFunction<HostAddress, Envelope.Builder, CompletableFuture<Envelope>> peerRequest, Executor control) {
		this.racks = racks;
		this.queues = queues;
		this.peers = peers;
		this.peerRequest = peerRequest;
		this.control = control;
	}

	/**
	 * Send all events that are not yet acknowledged.
	 */
	void deliverPending() {
		this.racks.unacknowledgedEvents().forEach((team, events) -> {
			if (this.queues.teams().contains(team)) {
				new ArrayList<>(events)
					.forEach((event) -> this.queues.handleEvent(event, team, this.racks::acknowledge));
				return;
			}
			Optional<Recipient> recipient = recipient(team);
			if (recipient.isPresent() && this.recipientsInFlight.add(recipient.get())) {
				sendEvents(recipient.get(), events);
			}
		});
	}

	private Optional<Recipient> recipient(String team) {
		return this.peers.ownerOfTeam(team)
			.flatMap((session) -> this.peers.address(session).map((address) -> new Recipient(team, session, address)));
	}

	private void sendEvents(Recipient recipient, List<AttemptEvent> events) {
		Envelope.Builder request = Envelope.newBuilder()
			.setAttemptEvents(PeerCodec.encodeEvents(recipient.team(), events));
		this.peerRequest.apply(recipient.address(), request).whenCompleteAsync((reply, failure) -> {
			this.recipientsInFlight.remove(recipient);
			if (failure == null) {
				boolean isOwner = recipient(recipient.team()).equals(Optional.of(recipient));
				PeerCodec.decode(reply.getAttemptEvents())
					.stream()
					.filter((event) -> isOwner || event.kind().isTerminal())
					.forEach(this.racks::acknowledge);
			}
		}, this.control);
	}

	/**
	 * A peer as the owner of a team's queue.
	 *
	 * @param team the team
	 * @param session the session of the owner
	 * @param address where the owner listens
	 */
	private record Recipient(String team, String session, HostAddress address) {

	}

}
