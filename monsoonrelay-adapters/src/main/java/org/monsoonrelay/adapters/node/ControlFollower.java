package org.monsoonrelay.adapters.node;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StateReply;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StateRequest;
import org.monsoonrelay.logic.control.ControlLog;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.control.InForce;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Keeps a process's version in force up to date, from the platform and, where that cannot
 * be reached, from peers. Thread-safe.
 */
public final class ControlFollower {

	private static final System.Logger LOGGER = System.getLogger(ControlFollower.class.getName());

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final ControlLog log;

	private final ControlTracker tracker;

	private final AtomicBoolean polling = new AtomicBoolean();

	private final AtomicBoolean fetching = new AtomicBoolean();

	public ControlFollower(ControlLog log, ControlTracker tracker) {
		this.log = log;
		this.tracker = tracker;
	}

	/**
	 * Ask the platform for the head, unless an answer is awaited already.
	 * @return completes, never exceptionally, when the version is in force or cannot be
	 * had
	 */
	public CompletableFuture<Void> poll() {
		if (!this.polling.compareAndSet(false, true)) {
			return CompletableFuture.completedFuture(null);
		}
		return this.log.head().thenCompose(this::follow).handle((done, failure) -> {
			this.polling.set(false);
			if (failure != null) {
				LOGGER.log(System.Logger.Level.DEBUG, "the control head cannot be read", failure);
			}
			return null;
		});
	}

	private CompletableFuture<Void> follow(ControlHead head) {
		if (head.version() <= this.tracker.inForce().head().version()) {
			return CompletableFuture.completedFuture(null);
		}
		return this.log.state(head).thenAccept((state) -> offer(head, state));
	}

	private void offer(ControlHead head, ControlState state) {
		if (this.tracker.offer(head, state)) {
			LOGGER.log(System.Logger.Level.INFO, "version {0} is in force", Long.toString(head.version()));
		}
	}

	/**
	 * A peer has announced its version; fetch it if it is higher.
	 * @param network the peers
	 * @param peer the peer
	 * @param version its version
	 */
	public void announced(PeerNetwork network, HostAddress peer, long version) {
		boolean higher = version > this.tracker.inForce().head().version();
		if (!higher || !this.fetching.compareAndSet(false, true)) {
			return;
		}
		Envelope.Builder request = Envelope.newBuilder().setStateRequest(StateRequest.getDefaultInstance());
		network.request(peer, request, TIMEOUT).whenComplete((reply, failure) -> {
			this.fetching.set(false);
			if (failure == null) {
				StateReply state = reply.getStateReply();
				offer(new ControlHead(state.getVersion(), state.getStateDigest(), state.getEditId()),
						Json.read(state.getStateJson(), ControlState.class));
			}
		});
	}

	/**
	 * Answer a peer that asks for the version in force here.
	 * @return the reply
	 */
	public Envelope.Builder state() {
		InForce present = this.tracker.inForce();
		return Envelope.newBuilder()
			.setStateReply(StateReply.newBuilder()
				.setVersion(present.head().version())
				.setStateDigest(present.head().stateDigest())
				.setEditId(present.head().editId())
				.setStateJson(Json.write(present.state())));
	}

}
