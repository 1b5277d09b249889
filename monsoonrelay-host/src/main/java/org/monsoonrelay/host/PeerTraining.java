package org.monsoonrelay.host;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.adapters.peer.PeerIdentity;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.CommitRequest;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.EligibilityRequest;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.JobNews;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.OwnerHeartbeat;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StatesNews;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.platform.HostSettings;

/**
 * A peer that exchanges messages with a host in a training run, so that the classes of
 * messages and their codec are loaded. Its notifications have no epoch and therefore
 * change nothing. Stateless.
 */
final class PeerTraining {

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private static final String PLACEHOLDER = "training";

	private PeerTraining() {
	}

	/**
	 * Exchange messages in both directions.
	 * @param settings the host's settings
	 * @param host the host's network
	 */
	static void run(HostSettings settings, PeerNetwork host) {
		HostAddress address = new HostAddress(settings.ip(), settings.peerAddress().port() + 1);
		PeerIdentity self = new PeerIdentity(PLACEHOLDER, PLACEHOLDER, settings.failureDomain(), address);
		try (PeerNetwork peer = new PeerNetwork(self, HostSettings.PEER_SECRET,
				(from, message) -> CompletableFuture.completedFuture(Envelope.newBuilder()))) {
			peer.listen();
			peer.tell(settings.peerAddress(), Envelope.newBuilder()
				.setOwnerHeartbeat(OwnerHeartbeat.newBuilder().setAddress(address.toString())));
			peer.tell(settings.peerAddress(), Envelope.newBuilder().setStatesNews(statesNews()));
			request(peer, settings.peerAddress(), Envelope.newBuilder().setEligibilityRequest(eligibilityRequest()));
			request(peer, settings.peerAddress(), Envelope.newBuilder().setCommitRequest(commitRequest()));
			request(host, address, Envelope.newBuilder().setEligibilityRequest(eligibilityRequest()));
		}
	}

	private static void request(PeerNetwork network, HostAddress peer, Envelope.Builder request) {
		network.request(peer, request, TIMEOUT).exceptionally((failure) -> Envelope.getDefaultInstance()).join();
	}

	private static StatesNews statesNews() {
		return StatesNews.newBuilder()
			.addJobs(JobNews.newBuilder().setJob(PLACEHOLDER).setState(SubmissionState.QUEUED.name()))
			.putPending(PLACEHOLDER, 0)
			.build();
	}

	private static EligibilityRequest eligibilityRequest() {
		return EligibilityRequest.newBuilder().setStep(PLACEHOLDER).addWorkers(PLACEHOLDER).build();
	}

	private static CommitRequest commitRequest() {
		return CommitRequest.newBuilder().setWriteJson(Json.write(PartitionWrite.to(PLACEHOLDER))).build();
	}

}
