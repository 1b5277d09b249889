package org.monsoonrelay.scheduler;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.monsoonrelay.adapters.peer.PeerCodec;
import org.monsoonrelay.adapters.peer.PeerException;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.ReleaseRequest;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.ResolveRequest;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StartRequest;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StopRequest;
import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.logic.queue.RackDirectory;
import org.monsoonrelay.logic.queue.RackOwners;
import org.monsoonrelay.logic.rack.RackManager;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * Sends requests to the owners of racks: by direct calls for racks owned by this process,
 * otherwise over the peer network. Not thread-safe: confined to the control thread.
 */
final class PeerRackOwners implements RackOwners {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final String session;

	private final RackManager localRacks;

	private final RackDirectory directory;

	private final PeerDirectory peers;

	private final PeerNetwork network;

	private final InstantSource clock;

	PeerRackOwners(String session, RackManager localRacks, RackDirectory directory, PeerDirectory peers,
			PeerNetwork network, InstantSource clock) {
		this.session = session;
		this.localRacks = localRacks;
		this.directory = directory;
		this.peers = peers;
		this.network = network;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<List<Reservation>> reserve(ReservationRequest request) {
		if (isOwnedHere(request.rack())) {
			return CompletableFuture.completedFuture(this.localRacks.reserve(request));
		}
		Envelope.Builder envelope = Envelope.newBuilder()
			.setReserveRequest(PeerCodec.encode(request, this.clock.instant()));
		return request(request.rack(), envelope).thenApply((reply) -> PeerCodec.decode(reply.getReserveReply()));
	}

	@Override
	public CompletableFuture<List<AttemptId>> start(String rack, List<StartTask> starts) {
		if (isOwnedHere(rack)) {
			return CompletableFuture.completedFuture(
					starts.stream().filter((start) -> !this.localRacks.start(start)).map(StartTask::attempt).toList());
		}
		StartRequest request = StartRequest.newBuilder()
			.addAllStarts(starts.stream().map(PeerCodec::encode).toList())
			.build();
		return request(rack, Envelope.newBuilder().setStartRequest(request))
			.thenApply((reply) -> reply.getStartReply().getRefusedList().stream().map(AttemptId::parse).toList());
	}

	@Override
	public void release(String rack, Collection<AttemptId> attempts) {
		if (isOwnedHere(rack)) {
			this.localRacks.release(attempts);
			return;
		}
		ReleaseRequest request = ReleaseRequest.newBuilder()
			.addAllAttempts(attempts.stream().map(AttemptId::toString).toList())
			.build();
		send(rack, Envelope.newBuilder().setReleaseRequest(request));
	}

	@Override
	public void stop(String rack, AttemptId attempt, WorkerId worker, String team) {
		StopRequest request = StopRequest.newBuilder()
			.setAttempt(attempt.toString())
			.setWorker(worker.value())
			.setTeam(team)
			.build();
		Envelope.Builder envelope = Envelope.newBuilder().setStopRequest(request);
		sendToOwnerOrAll(rack, envelope, (owner) -> owner.stop(attempt, worker, team));
	}

	@Override
	public void resolve(String rack, AttemptId attempt, WorkerId worker, String incarnation, String team) {
		ResolveRequest request = ResolveRequest.newBuilder()
			.setAttempt(attempt.toString())
			.setWorker(worker.value())
			.setIncarnation(incarnation)
			.setTeam(team)
			.build();
		Envelope.Builder envelope = Envelope.newBuilder().setResolveRequest(request);
		sendToOwnerOrAll(rack, envelope, (owner) -> owner.resolve(attempt, worker, team));
	}

	private void sendToOwnerOrAll(String rack, Envelope.Builder envelope, Consumer<RackManager> localAction) {
		if (rack.isEmpty()) {
			localAction.accept(this.localRacks);
			this.peers.announcements()
				.forEach((peer) -> this.network.tell(HostAddress.parse(peer.getAddress()), envelope.clone()));
		}
		else if (isOwnedHere(rack)) {
			localAction.accept(this.localRacks);
		}
		else {
			send(rack, envelope);
		}
	}

	private boolean isOwnedHere(String rack) {
		return this.directory.ownerSession(rack).filter(this.session::equals).isPresent();
	}

	private CompletableFuture<Envelope> request(String rack, Envelope.Builder envelope) {
		Optional<HostAddress> owner = ownerAddress(rack);
		if (owner.isEmpty()) {
			return CompletableFuture.failedFuture(new PeerException("no owner is known for rack " + rack, null));
		}
		return this.network.request(owner.get(), envelope, TIMEOUT);
	}

	private void send(String rack, Envelope.Builder envelope) {
		ownerAddress(rack).ifPresent((owner) -> this.network.tell(owner, envelope));
	}

	private Optional<HostAddress> ownerAddress(String rack) {
		return this.directory.ownerSession(rack).flatMap(this.peers::address);
	}

}
