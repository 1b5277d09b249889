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
 * messages and their codec are loaded. Its news are those of no epoch, which change
 * nothing. Stateless.
 */
final class PeerTraining {

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private static final String NOBODY = "training";

	private PeerTraining() {
	}

	/**
	 * Exchange messages, in both directions.
	 * @param settings the host's settings
	 * @param host the host's network
	 */
	static void run(HostSettings settings, PeerNetwork host) {
		HostAddress address = new HostAddress(settings.ip(), settings.peerAddress().port() + 1);
		PeerIdentity self = new PeerIdentity(NOBODY, NOBODY, settings.failureDomain(), address);
		try (PeerNetwork peer = new PeerNetwork(self, HostSettings.PEER_SECRET,
				(from, message) -> CompletableFuture.completedFuture(Envelope.newBuilder()))) {
			peer.listen();
			peer.tell(settings.peerAddress(), Envelope.newBuilder()
				.setOwnerHeartbeat(OwnerHeartbeat.newBuilder().setAddress(address.toString())));
			peer.tell(settings.peerAddress(), Envelope.newBuilder().setStatesNews(states()));
			ask(peer, settings.peerAddress(), Envelope.newBuilder().setEligibilityRequest(question()));
			ask(peer, settings.peerAddress(), Envelope.newBuilder().setCommitRequest(write()));
			ask(host, address, Envelope.newBuilder().setEligibilityRequest(question()));
		}
	}

	private static void ask(PeerNetwork network, HostAddress peer, Envelope.Builder request) {
		network.request(peer, request, TIMEOUT).exceptionally((failure) -> Envelope.getDefaultInstance()).join();
	}

	private static StatesNews states() {
		return StatesNews.newBuilder()
			.addJobs(JobNews.newBuilder().setJob(NOBODY).setState(SubmissionState.QUEUED.name()))
			.putPending(NOBODY, 0)
			.build();
	}

	private static EligibilityRequest question() {
		return EligibilityRequest.newBuilder().setStep(NOBODY).addWorkers(NOBODY).build();
	}

	private static CommitRequest write() {
		return CommitRequest.newBuilder().setWriteJson(Json.write(PartitionWrite.to(NOBODY))).build();
	}

}
