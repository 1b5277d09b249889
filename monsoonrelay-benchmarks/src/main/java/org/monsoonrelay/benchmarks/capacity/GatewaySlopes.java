package org.monsoonrelay.benchmarks.capacity;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.simple.RandomSource;
import org.monsoonrelay.adapters.http.HttpServer;
import org.monsoonrelay.logic.routing.BackendPool;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.logic.routing.RetryBudget;
import org.monsoonrelay.logic.routing.ServiceRouter;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;
import org.monsoonrelay.model.request.TrafficClass;
import org.monsoonrelay.model.workload.Operation;

/**
 * What requests and connections take in a gateway's memory. Stateless.
 */
final class GatewaySlopes {

	private static final int[] REQUESTS = { 1_000, 2_000, 4_000 };

	private static final int[] CONNECTIONS = { 100, 200, 400 };

	private static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

	private static final int SLOTS = 8;

	private static final int BODY_BYTES = 200;

	private static final long SEED = 20_261_202L;

	private static final byte[] LIVE_REQUEST = "GET /live HTTP/1.1\r\nHost: gateway\r\n\r\n"
		.getBytes(StandardCharsets.US_ASCII);

	private GatewaySlopes() {
	}

	/**
	 * Heap by requests that wait for a slot or are on the wire, with bodies of 200 bytes.
	 * @return the slope
	 */
	static Slope heapByRequests() {
		return Meter.heap(REQUESTS, (count) -> {
			ServiceRouter router = router();
			Operation operation = new Operation("lookup", TrafficClass.DESK, true, 60_000);
			for (int index = 0; index < count; index++) {
				router.route(new ForwardedRequest(UUID.randomUUID().toString(), "desk", operation, "POST", "",
						List.of(new HeaderLine("Content-Type", "application/json")), new byte[BODY_BYTES],
						InstantSource.system().instant().plusSeconds(600)));
			}
			return router;
		});
	}

	private static ServiceRouter router() {
		BackendPool pool = new BackendPool(SLOTS, "domain-0", InstantSource.system(),
				RandomSource.XO_RO_SHI_RO_128_PP.create(SEED));
		HostAddress address = new HostAddress("10.0.0.1", 9200);
		pool.update(List.of(new Host("backend-1", address, HostKind.BACKEND_SERVER, "one", "domain-0", "rack-1", "desk",
				HostState.LIVE, Resources.NONE)));
		return new ServiceRouter(pool, (server, request, giveUpAt) -> new CompletableFuture<>(),
				new RetryBudget(0.1, 20), InstantSource.system(), Integer.MAX_VALUE, Duration.ofSeconds(600));
	}

	/**
	 * Heap by open connections of callers, each after one request; the callers' ends,
	 * plain sockets in the same process, count, too. All stay open to the end, because
	 * one that closes gives up its heap at a moment of its own.
	 * @return the slope
	 */
	static Slope heapByConnections() {
		HostAddress address = freeAddress();
		List<Socket> open = new ArrayList<>();
		try (HttpServer server = new HttpServer(address, MAXIMUM_BODY_BYTES,
				(application) -> application.get("/live", (context) -> "live"))) {
			server.start();
			return Meter.heap(CONNECTIONS, (count) -> {
				List<Socket> sockets = connect(address, count);
				open.addAll(sockets);
				return sockets;
			});
		}
		finally {
			open.forEach(GatewaySlopes::close);
		}
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static List<Socket> connect(HostAddress address, int count) {
		List<Socket> sockets = new ArrayList<>();
		try {
			for (int index = 0; index < count; index++) {
				Socket socket = new Socket(address.host(), address.port());
				socket.getOutputStream().write(LIVE_REQUEST);
				if (socket.getInputStream().read() < 0) {
					throw new IllegalStateException("connection closed");
				}
				sockets.add(socket);
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return sockets;
	}

	private static HostAddress freeAddress() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return new HostAddress("127.0.0.1", socket.getLocalPort());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
