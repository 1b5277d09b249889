package org.monsoonrelay.scheduler.pool;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.JobNews;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.OwnerHeartbeat;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.OwnerReleased;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StatesNews;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.TakeOverRequest;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.pool.OwnerRecord;
import org.monsoonrelay.logic.pool.PeerNotifier;
import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * Sends the owner's notifications to all hosts, including its own, as one-way messages.
 * Thread-safe.
 */
final class NetworkPeerNotifier implements PeerNotifier {

	private final PeerNetwork network;

	private final HostAddress self;

	private final Supplier<List<HostAddress>> hosts;

	NetworkPeerNotifier(PeerNetwork network, HostAddress self, Supplier<List<HostAddress>> hosts) {
		this.network = network;
		this.self = self;
		this.hosts = hosts;
	}

	@Override
	public void sendHeartbeat(long epoch, long version) {
		OwnerHeartbeat heartbeat = OwnerHeartbeat.newBuilder()
			.setEpoch(epoch)
			.setAddress(this.self.toString())
			.setVersion(version)
			.build();
		send(Envelope.newBuilder().setOwnerHeartbeat(heartbeat));
	}

	@Override
	public void publishStates(long epoch, Map<String, SubmissionState> states, Optional<QueueCount> pending) {
		StatesNews.Builder stateUpdate = StatesNews.newBuilder().setEpoch(epoch);
		states.forEach((job, state) -> stateUpdate.addJobs(JobNews.newBuilder().setJob(job).setState(state.name())));
		pending.ifPresent(
				(count) -> stateUpdate.setCountedVersion(count.version()).putAllPending(count.summary().pending()));
		send(Envelope.newBuilder().setStatesNews(stateUpdate));
	}

	@Override
	public void announceRelease(OwnerRecord record, long version) {
		send(Envelope.newBuilder()
			.setOwnerReleased(OwnerReleased.newBuilder().setRecordJson(Json.write(record)).setVersion(version)));
	}

	@Override
	public void requestTakeOver(long version) {
		send(Envelope.newBuilder().setTakeOverRequest(TakeOverRequest.newBuilder().setVersion(version)));
	}

	private void send(Envelope.Builder message) {
		this.network.tell(this.hosts.get(), message);
	}

}
