package org.monsoonrelay.scheduler;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;

import org.monsoonrelay.adapters.peer.PeerCodec;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.queue.QueueManager;
import org.monsoonrelay.logic.rack.RackManager;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Delivers the events of owned racks to the owners of the teams' queues, in this process
 * or at a peer, and repeats them until they are acknowledged. Invariant: at most one
 * delivery per team is in flight to a peer. Not thread-safe: confined to the control
 * thread.
 */
final class EventDelivery {

	private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

	private final RackManager racks;

	private final QueueManager queues;

	private final PeerDirectory peers;

	private final PeerNetwork network;

	private final Executor control;

	private final Set<String> teamsInFlight = new HashSet<>();

	EventDelivery(RackManager racks, QueueManager queues, PeerDirectory peers, PeerNetwork network, Executor control) {
		this.racks = racks;
		this.queues = queues;
		this.peers = peers;
		this.network = network;
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
			Optional<HostAddress> owner = this.peers.ownerOfTeam(team).flatMap(this.peers::address);
			if (owner.isPresent() && this.teamsInFlight.add(team)) {
				sendEvents(owner.get(), team, events);
			}
		});
	}

	private void sendEvents(HostAddress owner, String team, List<AttemptEvent> events) {
		Envelope.Builder request = Envelope.newBuilder().setAttemptEvents(PeerCodec.encodeEvents(team, events));
		this.network.request(owner, request, PEER_TIMEOUT).whenCompleteAsync((reply, failure) -> {
			this.teamsInFlight.remove(team);
			if (failure == null) {
				PeerCodec.decode(reply.getAttemptEvents()).forEach(this.racks::acknowledge);
			}
		}, this.control);
	}

}
