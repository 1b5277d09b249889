package org.monsoonrelay.adapters.node;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.HostsReply;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.HostsRequest;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.logic.platform.HostListService;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Keeps the newest host list that the platform or a peer has given. While the platform
 * does not answer, one peer after the other is asked, so that a process that starts in an
 * outage knows its hosts. Invariant: the version never goes down. Thread-safe.
 */
public final class HostListFollower {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private final HostListService platform;

	private final Consumer<HostList> listener;

	private final AtomicInteger turn = new AtomicInteger();

	private volatile HostList newest = new HostList(0, List.of());

	/**
	 * Create a follower.
	 * @param platform the platform's list
	 * @param listener told of each reading that is not older than the one before, on any
	 * thread
	 */
	public HostListFollower(HostListService platform, Consumer<HostList> listener) {
		this.platform = platform;
		this.listener = listener;
	}

	/**
	 * Read the platform's list, or a peer's where the platform does not answer.
	 * @param network the peers
	 * @param peers their addresses
	 * @return completes, never exceptionally, when the list is taken or cannot be had
	 */
	public CompletableFuture<Void> poll(PeerNetwork network, List<HostAddress> peers) {
		return this.platform.read(this.newest.version())
			.thenAccept((list) -> list.ifPresent(this::take))
			.handle((taken, failure) -> (failure != null) ? askPeer(network, peers)
					: CompletableFuture.<Void>completedFuture(null))
			.thenCompose((asked) -> asked);
	}

	private CompletableFuture<Void> askPeer(PeerNetwork network, List<HostAddress> peers) {
		if (peers.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		HostAddress peer = peers.get(Math.floorMod(this.turn.getAndIncrement(), peers.size()));
		Envelope.Builder request = Envelope.newBuilder()
			.setHostsRequest(HostsRequest.newBuilder().setKnownVersion(this.newest.version()));
		return network.request(peer, request, TIMEOUT).handle((reply, failure) -> {
			if (failure == null && !reply.getHostsReply().getHostsJson().isEmpty()) {
				take(Json.read(reply.getHostsReply().getHostsJson(), HostList.class));
			}
			return null;
		});
	}

	private synchronized void take(HostList list) {
		if (list.version() >= this.newest.version()) {
			this.newest = list;
			this.listener.accept(list);
		}
	}

	/**
	 * Answer a peer that asks for the list.
	 * @param request the peer's request
	 * @return the reply
	 */
	public Envelope.Builder createReply(HostsRequest request) {
		HostList present = this.newest;
		HostsReply.Builder reply = HostsReply.newBuilder();
		if (present.version() > request.getKnownVersion()) {
			reply.setHostsJson(Json.write(present));
		}
		return Envelope.newBuilder().setHostsReply(reply);
	}

}
