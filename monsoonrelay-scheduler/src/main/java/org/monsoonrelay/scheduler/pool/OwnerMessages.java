package org.monsoonrelay.scheduler.pool;

import java.util.List;
import java.util.function.Supplier;

import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.OwnerAlive;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.TakeOverRequest;
import org.monsoonrelay.logic.pool.OwnerPeers;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Tells the other schedulers what the owner has to say, as one-way messages. Thread-safe.
 */
final class OwnerMessages implements OwnerPeers {

	private final PeerNetwork network;

	private final HostAddress self;

	private final Supplier<List<HostAddress>> schedulers;

	OwnerMessages(PeerNetwork network, HostAddress self, Supplier<List<HostAddress>> schedulers) {
		this.network = network;
		this.self = self;
		this.schedulers = schedulers;
	}

	@Override
	public void alive(long epoch) {
		OwnerAlive alive = OwnerAlive.newBuilder().setEpoch(epoch).setAddress(this.self.toString()).build();
		tell(this.schedulers.get(), Envelope.newBuilder().setOwnerAlive(alive));
	}

	@Override
	public void inviteTakeOver(long epoch) {
		tell(this.schedulers.get(),
				Envelope.newBuilder().setTakeOverRequest(TakeOverRequest.newBuilder().setEpoch(epoch)));
	}

	private void tell(List<HostAddress> peers, Envelope.Builder message) {
		peers.forEach((peer) -> this.network.tell(peer, message.clone()));
	}

}
