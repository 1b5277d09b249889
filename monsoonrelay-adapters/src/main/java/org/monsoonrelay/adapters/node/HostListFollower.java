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
 * Keeps the newest host list received from the platform or a peer. While the platform
 * does not respond, the peers are polled in turn, so that a process that starts during an
 * outage gets a host list. Invariant: the version never decreases. Thread-safe.
 */
public final class HostListFollower {

	private static final Duration PEER_TIMEOUT = Duration.ofSeconds(1);

	private final HostListService platform;

	private final Consumer<HostList> listener;

	private final AtomicInteger pollCount = new AtomicInteger();

	private volatile HostList newest = new HostList(0, List.of());

	/**
	 * Creates a follower.
	 * @param platform the host list service of the platform
	 * @param listener called on any thread with each list that is not older than the
	 * newest one
	 */
	public HostListFollower(HostListService platform, Consumer<HostList> listener) {
		this.platform = platform;
		this.listener = listener;
	}

	/**
	 * Polls the platform for the list, or one peer if the platform does not respond.
	 * @param network the network of the peers
	 * @param peers the addresses of the peers
	 * @return completes, never exceptionally, when the list is updated or is not
	 * available
	 */
	public CompletableFuture<Void> poll(PeerNetwork network, List<HostAddress> peers) {
		return this.platform.read(this.newest.version())
			.thenAccept((list) -> list.ifPresent(this::updateIfNotOlder))
			.handle((updated, failure) -> (failure != null) ? pollNextPeer(network, peers)
					: CompletableFuture.<Void>completedFuture(null))
			.thenCompose((polled) -> polled);
	}

	private CompletableFuture<Void> pollNextPeer(PeerNetwork network, List<HostAddress> peers) {
		if (peers.isEmpty()) {
			return CompletableFuture.completedFuture(null);
		}
		HostAddress peer = peers.get(Math.floorMod(this.pollCount.getAndIncrement(), peers.size()));
		Envelope.Builder request = Envelope.newBuilder()
			.setHostsRequest(HostsRequest.newBuilder().setKnownVersion(this.newest.version()));
		return network.request(peer, request, PEER_TIMEOUT).handle((reply, failure) -> {
			if (failure == null && !reply.getHostsReply().getHostsJson().isEmpty()) {
				updateIfNotOlder(Json.read(reply.getHostsReply().getHostsJson(), HostList.class));
			}
			return null;
		});
	}

	private synchronized void updateIfNotOlder(HostList list) {
		if (list.version() >= this.newest.version()) {
			this.newest = list;
			this.listener.accept(list);
		}
	}

	/**
	 * Creates the reply to a peer that requests the list.
	 * @param request the request of the peer
	 * @return the reply, without a list if the peer's list is up to date
	 */
	public Envelope.Builder createReply(HostsRequest request) {
		HostList current = this.newest;
		HostsReply.Builder reply = HostsReply.newBuilder();
		if (current.version() > request.getKnownVersion()) {
			reply.setHostsJson(Json.write(current));
		}
		return Envelope.newBuilder().setHostsReply(reply);
	}

}
