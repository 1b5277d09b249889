package org.monsoonrelay.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.peer.PeerIdentity;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.PeerTimings;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StatusReply;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StatusRequest;
import org.monsoonrelay.model.host.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

class SilentPeerConnectionsTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final String SECRET = "cell-secret";

	private final HostAddress calledAddress = freeAddress();

	private final HostAddress relayAddress = freeAddress();

	private final CutRelay relay = new CutRelay(this.relayAddress, this.calledAddress);

	private final PeerNetwork called = new PeerNetwork(identity("called", this.calledAddress), SECRET,
			(from, request) -> CompletableFuture.completedFuture(answer()));

	private final PeerNetwork caller = new PeerNetwork(identity("caller", freeAddress()), SECRET,
			(from, request) -> CompletableFuture.completedFuture(answer()),
			new PeerTimings(Duration.ofHours(1), Duration.ofMillis(10)));

	@AfterEach
	void close() {
		this.caller.close();
		this.called.close();
		this.relay.close();
	}

	private static PeerIdentity identity(String name, HostAddress address) {
		return new PeerIdentity(name, "scheduler", "domain-a", address);
	}

	private static Envelope.Builder answer() {
		return Envelope.newBuilder().setStatusReply(StatusReply.newBuilder().setStatusJson("called"));
	}

	private static HostAddress freeAddress() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return new HostAddress("127.0.0.1", socket.getLocalPort());
		}
		catch (IOException ex) {
			throw new IllegalStateException("no port is free", ex);
		}
	}

	private CompletableFuture<Envelope> ask(Duration timeout) {
		return this.caller.request(this.relayAddress,
				Envelope.newBuilder().setStatusRequest(StatusRequest.getDefaultInstance()), timeout);
	}

	@Test
	void areReplacedOnceARequestOnThemTimesOut() {
		this.called.listen();
		ask(TIMEOUT).join();
		this.relay.cut();
		this.relay.heal();

		CompletableFuture<Envelope> lost = ask(Duration.ofMillis(200));
		assertThat(catchThrowable(lost::join)).hasCauseInstanceOf(TimeoutException.class);

		assertThat(ask(TIMEOUT).join().getStatusReply().getStatusJson()).isEqualTo("called");
	}

}
