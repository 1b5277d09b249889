package org.monsoonrelay.adapters.node;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.adapters.logging.LogFields;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StateReply;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StateRequest;
import org.monsoonrelay.logic.control.ActiveControlState;
import org.monsoonrelay.logic.control.ControlLog;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.control.ControlVersion;
import org.monsoonrelay.logic.control.VersionFollower;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Keeps the control state of a process up to date from the platform and from its peers,
 * and provides it to the peers. Thread-safe.
 */
public final class ControlFollower {

	private static final System.Logger LOGGER = System.getLogger(ControlFollower.class.getName());

	private static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

	private final VersionFollower follower;

	private final ControlTracker tracker;

	public ControlFollower(ControlLog log, ControlTracker tracker) {
		this.follower = new VersionFollower(log, tracker);
		this.tracker = tracker;
		tracker.onChange(ControlFollower::logActivation);
	}

	private static void logActivation(ActiveControlState next) {
		LogFields.of(LogFields.VERSION, next.head().version())
			.run(() -> LOGGER.log(System.Logger.Level.INFO, "a new control version is active"));
	}

	/**
	 * Polls the platform for the latest version, unless a poll is already pending.
	 * @return completes, never exceptionally, when the version is active or is not
	 * available
	 */
	public CompletableFuture<Void> poll() {
		return this.follower.poll();
	}

	/**
	 * Handles the announcement of a peer's version and fetches the version if it is
	 * newer.
	 * @param network the network of the peers
	 * @param peer the address of the peer
	 * @param version the version of the peer
	 */
	public void handleAnnouncement(PeerNetwork network, HostAddress peer, long version) {
		this.follower.handleAnnouncement(version, () -> {
			Envelope.Builder request = Envelope.newBuilder().setStateRequest(StateRequest.getDefaultInstance());
			return network.request(peer, request, PEER_TIMEOUT).thenApply((reply) -> decode(reply.getStateReply()));
		});
	}

	private static ControlVersion decode(StateReply reply) {
		return new ControlVersion(new ControlHead(reply.getVersion(), reply.getStateDigest(), reply.getEditId()),
				Json.read(reply.getStateJson(), ControlState.class));
	}

	/**
	 * Creates the reply to a peer that requests the active version.
	 * @return the reply
	 */
	public Envelope.Builder createStateReply() {
		ActiveControlState active = this.tracker.activeState();
		return Envelope.newBuilder()
			.setStateReply(StateReply.newBuilder()
				.setVersion(active.head().version())
				.setStateDigest(active.head().stateDigest())
				.setEditId(active.head().editId())
				.setStateJson(Json.write(active.state())));
	}

}
