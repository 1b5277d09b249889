package org.monsoonrelay.adapters.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.SingleThreadEventExecutor;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Empty;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StatusReply;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StatusRequest;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.TakeOverRequest;
import org.monsoonrelay.model.host.HostAddress;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;

class PeerNetworkTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final String SECRET = "cell-secret";

	private final HostAddress firstAddress = FreeAddress.find();

	private final HostAddress secondAddress = FreeAddress.find();

	private final PeerNetwork first = network("first", this.firstAddress, SECRET);

	private final PeerNetwork second = network("second", this.secondAddress, SECRET);

	@AfterEach
	void close() {
		this.first.close();
		this.second.close();
	}

	private String ask(HostAddress peer) {
		return this.first.request(peer, question(), TIMEOUT).join().getStatusReply().getStatusJson();
	}

	private static Envelope.Builder question() {
		return Envelope.newBuilder().setStatusRequest(StatusRequest.getDefaultInstance());
	}

	private static PeerNetwork network(String name, HostAddress address, String secret) {
		PeerIdentity identity = new PeerIdentity(name, "scheduler", "domain-a", address);
		return new PeerNetwork(identity, secret,
				(from, request) -> CompletableFuture.completedFuture(answer(name, request)));
	}

	private static Envelope.Builder answer(String name, Envelope request) {
		return request.hasStatusRequest()
				? Envelope.newBuilder().setStatusReply(StatusReply.newBuilder().setStatusJson(name))
				: Envelope.newBuilder().setEmpty(Empty.getDefaultInstance());
	}

	@Nested
	class Addresses {

		@Test
		void areFreeOnceTheirNetworkIsClosed() {
			HostAddress address = FreeAddress.find();
			PeerIdentity self = new PeerIdentity("self", "host", "domain-a", address);
			for (int i = 0; i < 100; i++) {
				PeerNetwork network = new PeerNetwork(self, SECRET,
						(from, message) -> CompletableFuture.completedFuture(Envelope.newBuilder()));
				network.listen();
				network.close();
			}
		}

		/**
		 * A process that listened again right after a close found its address in use,
		 * once in a run of all tests. The close returned when its channel was closed, but
		 * the selector of the event loop keeps the socket of a closed channel, which goes
		 * on listening, until its next selection. Here a task stands between the two.
		 */
		@Test
		void areNotSaidToBeFreeBeforeTheSelectorHasLetGoOfThem() throws Exception {
			PeerIdentity self = new PeerIdentity("self", "host", "domain-a", FreeAddress.find());
			NioEventLoopGroup loop = new NioEventLoopGroup(1);
			PeerNetwork network = new PeerNetwork(self, SECRET,
					(from, message) -> CompletableFuture.completedFuture(Envelope.newBuilder()), PeerTimings.DEFAULT,
					loop);
			network.listen();
			CountDownLatch isHeld = new CountDownLatch(1);
			CountDownLatch closeIsQueued = new CountDownLatch(1);
			CountDownLatch isClosed = new CountDownLatch(1);
			CountDownLatch maySelect = new CountDownLatch(1);
			loop.execute(() -> {
				isHeld.countDown();
				await(closeIsQueued);
			});
			await(isHeld);
			CompletableFuture<Void> closing = CompletableFuture.runAsync(network::close);
			while (((SingleThreadEventExecutor) loop.next()).pendingTasks() == 0) {
				Thread.onSpinWait();
			}
			loop.execute(() -> {
				isClosed.countDown();
				await(maySelect);
			});
			closeIsQueued.countDown();
			await(isClosed);
			assertThatThrownBy(() -> closing.get(200, TimeUnit.MILLISECONDS)).isInstanceOf(TimeoutException.class);
			maySelect.countDown();
			closing.get(10, TimeUnit.SECONDS);
			PeerNetwork next = new PeerNetwork(self, SECRET,
					(from, message) -> CompletableFuture.completedFuture(Envelope.newBuilder()));
			next.listen();
			next.close();
		}

		private void await(CountDownLatch latch) {
			try {
				latch.await();
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}

	}

	@Nested
	class OneWayMessages {

		@Test
		void reachAllPeersAndThisProcess() {
			List<HostAddress> heard = new CopyOnWriteArrayList<>();
			CountDownLatch all = new CountDownLatch(3);
			List<HostAddress> addresses = List.of(FreeAddress.find(), FreeAddress.find(), FreeAddress.find());
			List<PeerNetwork> networks = addresses.stream()
				.map((address) -> new PeerNetwork(new PeerIdentity(address.toString(), "host", "domain-a", address),
						SECRET, (from, message) -> {
							assertThat(message.getTakeOverRequest().getVersion()).isEqualTo(7);
							heard.add(address);
							all.countDown();
							return CompletableFuture.completedFuture(Envelope.newBuilder());
						}))
				.toList();
			try {
				networks.forEach(PeerNetwork::listen);
				networks.get(0)
					.tell(addresses,
							Envelope.newBuilder().setTakeOverRequest(TakeOverRequest.newBuilder().setVersion(7)));

				assertThat(all.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS)).isTrue();
				assertThat(heard).containsExactlyInAnyOrderElementsOf(addresses);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
			finally {
				networks.forEach(PeerNetwork::close);
			}
		}

	}

	@Nested
	class Requests {

		@Test
		void areAnsweredByThePeerThatIsAsked() {
			PeerNetworkTests.this.second.listen();

			assertThat(ask(PeerNetworkTests.this.secondAddress)).isEqualTo("second");
		}

		@Test
		void useTheConnectionThatThePeerOpened() throws IOException {
			PeerNetworkTests.this.second.listen();
			ask(PeerNetworkTests.this.secondAddress);

			CompletableFuture<Envelope> back = PeerNetworkTests.this.second.request(PeerNetworkTests.this.firstAddress,
					question(), TIMEOUT);

			assertThat(back.join().getStatusReply().getStatusJson()).isEqualTo("first");
		}

		@Test
		void endAtTheirTimeoutWhenThePeerNeverGreets() throws IOException {
			HostAddress frozen = PeerNetworkTests.this.firstAddress;
			try (ServerSocket silent = new ServerSocket(frozen.port(), 1, InetAddress.getByName(frozen.host()))) {
				CompletableFuture<Envelope> reply = PeerNetworkTests.this.second.request(frozen, question(),
						Duration.ofMillis(100));

				Throwable failure = catchThrowable(reply::join);

				assertThat(failure).isInstanceOf(CompletionException.class).hasCauseInstanceOf(TimeoutException.class);
				assertThat(silent.isBound()).isTrue();
			}
		}

	}

	@Nested
	class Peers {

		/**
		 * The last request failed once with the failure of the request before it: the
		 * failed connection was forgotten only after its caller had been told. Beside 32
		 * busy processes 40 of 400 rounds failed so, each with "cannot reach peer" though
		 * the peer listened.
		 */
		@Test
		void areReachedAgainAfterTheyWereDown() {
			for (int round = 0; round < 50; round++) {
				CompletableFuture<Envelope> refused = PeerNetworkTests.this.first
					.request(PeerNetworkTests.this.secondAddress, question(), TIMEOUT);
				assertThat(catchThrowable(refused::join)).isNotNull();
			}
			PeerNetworkTests.this.second.listen();

			assertThat(ask(PeerNetworkTests.this.secondAddress)).isEqualTo("second");
		}

		/**
		 * A caller that was told that its peer cannot be reached asked again at once, and
		 * was given the same failure without a new try, though the peer had come back. A
		 * future runs what was added last first: the caller heard of the failure before
		 * the failed connection was forgotten. Shown by a count: of 200,000 callers that
		 * were told, 95 still found the failed connection.
		 */
		@Test
		void areReachedAgainByACallerThatWasJustToldOfAFailure() throws IOException {
			HostAddress address = PeerNetworkTests.this.secondAddress;
			ServerSocket down = new ServerSocket(address.port(), 1, InetAddress.getByName(address.host()));
			CompletableFuture<Envelope> again = PeerNetworkTests.this.first.request(address, question(), TIMEOUT)
				.handle((reply, failure) -> {
					PeerNetworkTests.this.second.listen();
					return PeerNetworkTests.this.first.request(address, question(), TIMEOUT);
				})
				.thenCompose((reply) -> reply);
			Socket accepted = down.accept();
			down.close();
			accepted.close();

			assertThat(again.join().getStatusReply().getStatusJson()).isEqualTo("second");
		}

	}

}
