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
 * Reaches racks' owners: this instance's directly, the others' over the peer network. Not
 * thread-safe: confined to the control thread.
 */
final class PeerRackOwners implements RackOwners {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private final String session;

	private final RackManager own;

	private final RackDirectory directory;

	private final PeerDirectory peers;

	private final PeerNetwork network;

	private final InstantSource clock;

	PeerRackOwners(String session, RackManager own, RackDirectory directory, PeerDirectory peers, PeerNetwork network,
			InstantSource clock) {
		this.session = session;
		this.own = own;
		this.directory = directory;
		this.peers = peers;
		this.network = network;
		this.clock = clock;
	}

	@Override
	public CompletableFuture<List<Reservation>> reserve(ReservationRequest request) {
		if (isOwn(request.rack())) {
			return CompletableFuture.completedFuture(this.own.reserve(request));
		}
		Envelope.Builder body = Envelope.newBuilder()
			.setReserveRequest(PeerCodec.encode(request, this.clock.instant()));
		return ask(request.rack(), body).thenApply((reply) -> PeerCodec.decode(reply.getReserveReply()));
	}

	@Override
	public CompletableFuture<List<AttemptId>> start(String rack, List<StartTask> starts) {
		if (isOwn(rack)) {
			return CompletableFuture.completedFuture(
					starts.stream().filter((start) -> !this.own.start(start)).map(StartTask::attempt).toList());
		}
		StartRequest request = StartRequest.newBuilder()
			.addAllStarts(starts.stream().map(PeerCodec::encode).toList())
			.build();
		return ask(rack, Envelope.newBuilder().setStartRequest(request))
			.thenApply((reply) -> reply.getStartReply().getRefusedList().stream().map(AttemptId::parse).toList());
	}

	@Override
	public void release(String rack, Collection<AttemptId> attempts) {
		if (isOwn(rack)) {
			this.own.release(attempts);
			return;
		}
		ReleaseRequest request = ReleaseRequest.newBuilder()
			.addAllAttempts(attempts.stream().map(AttemptId::toString).toList())
			.build();
		tell(rack, Envelope.newBuilder().setReleaseRequest(request));
	}

	@Override
	public void stop(String rack, AttemptId attempt, WorkerId worker, String team) {
		StopRequest request = StopRequest.newBuilder()
			.setAttempt(attempt.toString())
			.setWorker(worker.value())
			.setTeam(team)
			.build();
		Envelope.Builder body = Envelope.newBuilder().setStopRequest(request);
		toOwnerOrAll(rack, body, (owner) -> owner.stop(attempt, worker, team));
	}

	@Override
	public void resolve(String rack, AttemptId attempt, WorkerId worker, String incarnation, String team) {
		ResolveRequest request = ResolveRequest.newBuilder()
			.setAttempt(attempt.toString())
			.setWorker(worker.value())
			.setIncarnation(incarnation)
			.setTeam(team)
			.build();
		Envelope.Builder body = Envelope.newBuilder().setResolveRequest(request);
		toOwnerOrAll(rack, body, (owner) -> owner.resolve(attempt, worker, incarnation, team));
	}

	private void toOwnerOrAll(String rack, Envelope.Builder body, Consumer<RackManager> locally) {
		if (rack.isEmpty()) {
			locally.accept(this.own);
			this.peers.announcements()
				.forEach((peer) -> this.network.tell(HostAddress.parse(peer.getAddress()), body.clone()));
		}
		else if (isOwn(rack)) {
			locally.accept(this.own);
		}
		else {
			tell(rack, body);
		}
	}

	private boolean isOwn(String rack) {
		return this.directory.ownerSession(rack).filter(this.session::equals).isPresent();
	}

	private CompletableFuture<Envelope> ask(String rack, Envelope.Builder body) {
		Optional<HostAddress> owner = ownerAddress(rack);
		if (owner.isEmpty()) {
			return CompletableFuture.failedFuture(new PeerException("no owner is known for rack " + rack, null));
		}
		return this.network.request(owner.get(), body, TIMEOUT);
	}

	private void tell(String rack, Envelope.Builder body) {
		ownerAddress(rack).ifPresent((owner) -> this.network.tell(owner, body));
	}

	private Optional<HostAddress> ownerAddress(String rack) {
		return this.directory.ownerSession(rack).flatMap(this.peers::address);
	}

}
