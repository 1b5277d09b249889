package org.monsoonrelay.adapters.peer;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Empty;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Hello;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StateRequest;
import org.monsoonrelay.model.host.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PeerAccessTests {

	private static final String SECRET = "the-cell's-secret";

	private static final int TIMEOUT_MILLIS = 10_000;

	private final ConcurrentLinkedQueue<Envelope> handled = new ConcurrentLinkedQueue<>();

	private HostAddress address;

	private PeerNetwork network;

	@BeforeEach
	void listen() {
		this.address = FreeAddress.find();
		this.network = network(SECRET, this.address);
		this.network.listen();
	}

	@AfterEach
	void close() {
		this.network.close();
	}

	private PeerNetwork network(String secret, HostAddress at) {
		return new PeerNetwork(new PeerIdentity("session-" + at.port(), "scheduler", "north", at), secret,
				(from, request) -> {
					this.handled.add(request);
					return CompletableFuture
						.completedFuture(Envelope.newBuilder().setEmpty(Empty.getDefaultInstance()));
				});
	}

	private byte[] answerTo(Envelope message) throws IOException {
		try (Socket socket = new Socket(this.address.host(), this.address.port())) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			message.writeDelimitedTo(socket.getOutputStream());
			return socket.getInputStream().readAllBytes();
		}
	}

	@Test
	void strangerIsHungUpOnWithoutASingleByte() throws IOException {
		Hello guess = Hello.newBuilder().setSecret("guess").setAddress("127.0.0.1:1").build();

		assertThat(new String(answerTo(Envelope.newBuilder().setHello(guess).build()), StandardCharsets.UTF_8))
			.isEmpty();
		assertThat(this.handled).isEmpty();
	}

	@Test
	void requestBeforeAHelloIsNotHandled() throws IOException {
		assertThat(answerTo(Envelope.newBuilder().setEmpty(Empty.getDefaultInstance()).setCorrelationId(1).build()))
			.isEmpty();
		assertThat(this.handled).isEmpty();
	}

	@Test
	void peerWithAnotherSecretGetsNoAnswerAndOneWithTheSameDoes() {
		Envelope.Builder request = Envelope.newBuilder().setEmpty(Empty.getDefaultInstance());
		Duration timeout = Duration.ofMillis(TIMEOUT_MILLIS);
		try (PeerNetwork stranger = network("another-secret", new HostAddress("127.0.0.1", 1));
				PeerNetwork peer = network(SECRET, new HostAddress("127.0.0.1", 2))) {
			assertThatThrownBy(() -> stranger.request(this.address, request.clone(), timeout).join())
				.hasCauseInstanceOf(PeerException.class);
			Envelope.Builder asked = Envelope.newBuilder().setStateRequest(StateRequest.getDefaultInstance());
			assertThat(peer.request(this.address, asked, timeout).join().hasEmpty()).isTrue();
		}
		assertThat(this.handled).hasSize(1);
	}

}
