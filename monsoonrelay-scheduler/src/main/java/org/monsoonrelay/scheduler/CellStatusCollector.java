package org.monsoonrelay.scheduler;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.adapters.operator.ProcessStatus;
import org.monsoonrelay.adapters.operator.WorkersRoom;
import org.monsoonrelay.adapters.peer.PeerCodec;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Announcement;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StatusRequest;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.queue.JobStatus;
import org.monsoonrelay.logic.queue.QueueManager;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Collects the status of the whole cell from all reachable schedulers. Thread-safe: state
 * is read on the control thread.
 */
final class CellStatusCollector {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private final String session;

	private final Supplier<List<RackSummary>> localRacks;

	private final SchedulerSettings settings;

	private final QueueManager queues;

	private final ControlTracker tracker;

	private final Executor control;

	private final PeerDirectory peers;

	private final PeerNetwork network;

	CellStatusCollector(String session, Supplier<List<RackSummary>> localRacks, SchedulerSettings settings,
			QueueManager queues, ControlTracker tracker, Executor control, PeerDirectory peers, PeerNetwork network) {
		this.session = session;
		this.localRacks = localRacks;
		this.settings = settings;
		this.queues = queues;
		this.tracker = tracker;
		this.control = control;
		this.peers = peers;
		this.network = network;
	}

	CompletableFuture<CellStatus> collect() {
		return CompletableFuture.supplyAsync(this::collectOnControlThread, this.control).thenCompose((reply) -> reply);
	}

	private CompletableFuture<CellStatus> collectOnControlThread() {
		List<ProcessStatus> processes = new ArrayList<>();
		processes.add(new ProcessStatus(this.session, this.settings.node().peerAddress(), SchedulerNode.ROLE,
				this.settings.node().failureDomain(), this.tracker.activeState().head().version()));
		Map<String, JobStatus> jobs = new TreeMap<>();
		this.queues.jobStatuses().forEach((status) -> jobs.put(status.id().toString(), status));
		List<String> missing = new ArrayList<>();
		List<CompletableFuture<Void>> pendingReplies = new ArrayList<>();
		for (Announcement peer : this.peers.announcements()) {
			processes.add(new ProcessStatus(peer.getSession(), peer.getAddress(), peer.getRole(),
					peer.getFailureDomain(), peer.getVersion()));
			if (peer.getRole().equals(SchedulerNode.ROLE)) {
				pendingReplies.add(requestStatus(peer, jobs, missing));
			}
		}
		List<String> knownAddresses = processes.stream().map(ProcessStatus::address).toList();
		this.settings.node()
			.peers()
			.stream()
			.filter((address) -> !knownAddresses.contains(address))
			.forEach(missing::add);
		return CompletableFuture.allOf(pendingReplies.toArray(CompletableFuture[]::new))
			.thenApplyAsync((done) -> new CellStatus(this.tracker.activeState().head().version(),
					this.tracker.activeState().state().textVersion(), processes, missing, List.copyOf(jobs.values()),
					workerCapacity()), this.control);
	}

	private static void addStatus(Map<String, JobStatus> jobs, JobStatus reported) {
		jobs.merge(reported.id().toString(), reported,
				(first, second) -> (second.finishedAt() != null) ? second : first);
	}

	private WorkersRoom workerCapacity() {
		Map<String, RackSummary> byRack = new TreeMap<>();
		Stream<RackSummary> peerRacks = this.peers.announcements()
			.stream()
			.flatMap((peer) -> PeerCodec.decodeSummaries(peer.getRacksList()).stream());
		Stream.concat(this.localRacks.get().stream(), peerRacks)
			.forEach((rack) -> byRack.merge(rack.rack(), rack,
					(first, second) -> (second.epoch() > first.epoch()) ? second : first));
		return WorkersRoom.of(byRack.values());
	}

	private CompletableFuture<Void> requestStatus(Announcement peer, Map<String, JobStatus> jobs,
			List<String> missing) {
		Envelope.Builder request = Envelope.newBuilder().setStatusRequest(StatusRequest.getDefaultInstance());
		return this.network.request(HostAddress.parse(peer.getAddress()), request, TIMEOUT)
			.handleAsync((reply, failure) -> {
				if (failure != null) {
					missing.add(peer.getAddress());
				}
				else {
					for (JobStatus status : Json.read(reply.getStatusReply().getStatusJson(), JobStatus[].class)) {
						addStatus(jobs, status);
					}
				}
				return null;
			}, this.control);
	}

}
