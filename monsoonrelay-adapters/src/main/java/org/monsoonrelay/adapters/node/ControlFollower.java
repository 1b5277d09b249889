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
 * Carries versions between a process's follower and its peers. Thread-safe.
 */
public final class ControlFollower {

	private static final System.Logger LOGGER = System.getLogger(ControlFollower.class.getName());

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final VersionFollower follower;

	private final ControlTracker tracker;

	public ControlFollower(ControlLog log, ControlTracker tracker) {
		this.follower = new VersionFollower(log, tracker);
		this.tracker = tracker;
		tracker.onChange(ControlFollower::logChange);
	}

	private static void logChange(ActiveControlState next) {
		LogFields.of(LogFields.VERSION, next.head().version())
			.run(() -> LOGGER.log(System.Logger.Level.INFO, "a new version is in force"));
	}

	/**
	 * Ask the platform for the head, unless an answer is awaited already.
	 * @return completes, never exceptionally, when the version is in force or cannot be
	 * had
	 */
	public CompletableFuture<Void> poll() {
		return this.follower.poll();
	}

	/**
	 * A peer has announced its version; fetch it if it is higher.
	 * @param network the peers
	 * @param peer the peer
	 * @param version its version
	 */
	public void handleAnnouncement(PeerNetwork network, HostAddress peer, long version) {
		this.follower.handleAnnouncement(version, () -> {
			Envelope.Builder request = Envelope.newBuilder().setStateRequest(StateRequest.getDefaultInstance());
			return network.request(peer, request, TIMEOUT).thenApply((reply) -> decode(reply.getStateReply()));
		});
	}

	private static ControlVersion decode(StateReply reply) {
		return new ControlVersion(new ControlHead(reply.getVersion(), reply.getStateDigest(), reply.getEditId()),
				Json.read(reply.getStateJson(), ControlState.class));
	}

	/**
	 * Answer a peer that asks for the version in force here.
	 * @return the reply
	 */
	public Envelope.Builder createStateReply() {
		ActiveControlState present = this.tracker.activeState();
		return Envelope.newBuilder()
			.setStateReply(StateReply.newBuilder()
				.setVersion(present.head().version())
				.setStateDigest(present.head().stateDigest())
				.setEditId(present.head().editId())
				.setStateJson(Json.write(present.state())));
	}

}
