package org.monsoonrelay.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Announcement;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.placement.AttemptEventKind;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.logic.queue.QueueManager;
import org.monsoonrelay.logic.rack.AttemptPhase;
import org.monsoonrelay.logic.rack.RackManager;
import org.monsoonrelay.logic.rack.ReportedAttempt;
import org.monsoonrelay.logic.rack.WorkerReport;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.JobId;

import static org.assertj.core.api.Assertions.assertThat;

class EventDeliveryTests {

	private static final String TEAM = "crew";

	private static final Resources SIZE = new Resources(1, 1, 0);

	private static final HostAddress FORMER = new HostAddress("10.0.0.1", 7000);

	private static final HostAddress SUCCESSOR = new HostAddress("10.0.0.2", 7000);

	private final PeerDirectory peers = new PeerDirectory(Long.MAX_VALUE);

	private final Map<HostAddress, Envelope> requests = new LinkedHashMap<>();

	private final Map<HostAddress, CompletableFuture<Envelope>> replies = new LinkedHashMap<>();

	private AttemptPhase phase = AttemptPhase.RUNNING;

	private final RackManager racks = new RackManager(
			(host, command) -> CompletableFuture.completedFuture(new WorkerReport("life", command.epoch(), true, List
				.of(new ReportedAttempt(new AttemptId(new JobId("roster", "1"), 0, 1), TEAM, SIZE, this.phase)))),
			Runnable::run, () -> Instant.EPOCH, () -> 0, Duration.ofSeconds(3));

	private final EventDelivery delivery = new EventDelivery(this.racks,
			new QueueManager(null, null, (onConflict) -> null, Runnable::run, () -> Instant.EPOCH), this.peers,
			this::request, Runnable::run);

	private CompletableFuture<Envelope> request(HostAddress peer, Envelope.Builder body) {
		this.requests.put(peer, body.build());
		return this.replies.computeIfAbsent(peer, (address) -> new CompletableFuture<>());
	}

	private void announce(HostAddress peer, List<String> teams) {
		this.peers.announcementReceived(Announcement.newBuilder()
			.setSession(peer.host())
			.setAddress(peer.toString())
			.addAllTeams(teams)
			.build(), 0);
	}

	private void changeOwner() {
		announce(FORMER, List.of());
		announce(SUCCESSOR, List.of(TEAM));
	}

	private void acknowledgeAll(HostAddress peer) {
		this.replies.get(peer).complete(this.requests.get(peer));
	}

	private List<AttemptEventKind> pendingEvents() {
		return this.racks.unacknowledgedEvents()
			.values()
			.stream()
			.flatMap(List::stream)
			.map(AttemptEvent::kind)
			.toList();
	}

	@BeforeEach
	void ownARackWithOneAttempt() {
		this.racks.update(new HostList(1, List.of(new Host("w1", new HostAddress("10.0.0.9", 7000), HostKind.WORKER,
				"life", "north", "r1", "", HostState.LIVE, SIZE))));
		this.racks.acquireOwnership("r1", 1);
		this.racks.sendHeartbeats();
		announce(FORMER, List.of(TEAM));
	}

	@Test
	void aDeliveryThatTheFormerOwnerDoesNotAnswerDelaysNoneToItsSuccessor() {
		this.delivery.deliverPending();
		changeOwner();
		this.delivery.deliverPending();
		assertThat(this.requests).containsOnlyKeys(FORMER, SUCCESSOR);
	}

	@Test
	void aRunningAttemptThatTheFormerOwnerAcknowledgesLateIsStillDeliveredToItsSuccessor() {
		this.delivery.deliverPending();
		changeOwner();
		acknowledgeAll(FORMER);
		assertThat(pendingEvents()).containsExactly(AttemptEventKind.RUNNING);
		this.delivery.deliverPending();
		acknowledgeAll(SUCCESSOR);
		assertThat(pendingEvents()).isEmpty();
	}

	@Test
	void anEndThatTheFormerOwnerHasStoredIsAcknowledgedWhoeverOwnsTheQueueNow() {
		this.phase = AttemptPhase.FINISHED;
		this.racks.sendHeartbeats();
		this.delivery.deliverPending();
		changeOwner();
		acknowledgeAll(FORMER);
		assertThat(pendingEvents()).isEmpty();
	}

}
