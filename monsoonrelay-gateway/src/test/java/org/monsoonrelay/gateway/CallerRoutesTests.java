package org.monsoonrelay.gateway;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.codahale.metrics.MetricRegistry;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.monsoonrelay.adapters.http.HttpServer;
import org.monsoonrelay.adapters.node.NodeSettings;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.logic.routing.AttemptResult;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.request.RequestOutcome.HeaderLine;

import static org.assertj.core.api.Assertions.assertThat;

class CallerRoutesTests {

	private static final String CONFIRM = "/services/desk/confirm";

	private static final String TEXT = """
			{"cell": "test", "policy": {"waiting": 1, "packing": 1, "controlCost": 1},
			 "teams": [{"name": "t", "quota": {"processors": 9, "memoryMiB": 99, "accelerators": 0}, "weight": 1}],
			 "services": [{"name": "desk", "team": "t", "replicas": 1,
			  "size": {"processors": 1, "memoryMiB": 1, "accelerators": 0},
			  "operations": [{"name": "confirm", "trafficClass": "app", "repeatable": false, "deadlineMillis": 9000}]}]}
			""";

	private static final int MAXIMUM_BODY_BYTES = 64 * 1024;

	private static final Duration RECEIVE_WITHIN = Duration.ofMillis(500);

	private static final int IO_THREADS = 4;

	private final HostAddress address = freeAddress();

	private final BlockingQueue<Attempt> attempts = new LinkedBlockingQueue<>();

	private final GatewayServices services = services();

	private final CallerRoutes routes = new CallerRoutes(this.services, Clock.systemUTC(), () -> "request-1",
			new MetricRegistry(), new UnknownOutcomeLog(Clock.systemUTC()));

	private final HttpServer server = new HttpServer(this.address, MAXIMUM_BODY_BYTES, RECEIVE_WITHIN,
			this.routes::addTo);

	private RawCaller caller;

	@BeforeEach
	void start() throws IOException {
		this.server.start();
		this.caller = new RawCaller(this.address);
	}

	@AfterEach
	void close() throws IOException {
		this.caller.close();
		this.server.close();
	}

	private GatewayServices services() {
		ControlTracker tracker = new ControlTracker();
		tracker.offer(new ControlHead(1, "digest", "edit"), ControlState.NONE.withText(TEXT, 1));
		NodeSettings node = new NodeSettings("gateway", "a", "127.0.0.1:1", "127.0.0.1:2", List.of(), "secret");
		GatewaySettings settings = new GatewaySettings(node, this.address.toString(), "127.0.0.1:3", 8, 60, 1, 10, 1000,
				1000);
		GatewayServices gatewayServices = new GatewayServices(settings, tracker, (to, request, attemptDeadline) -> {
			Attempt attempt = new Attempt(request, new CompletableFuture<>());
			this.attempts.add(attempt);
			return attempt.result();
		}, new UnreachableTable(), Clock.systemUTC());
		gatewayServices.updateHosts(new HostList(1, List.of(new Host("server", new HostAddress("10.0.0.1", 80),
				HostKind.BACKEND_SERVER, "1", "a", "rack", "desk", HostState.LIVE, new Resources(0, 0, 0)))));
		return gatewayServices;
	}

	private static HostAddress freeAddress() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return new HostAddress("127.0.0.1", socket.getLocalPort());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private ForwardedRequest answerNext(String body, HeaderLine... headers) throws InterruptedException {
		Attempt attempt = this.attempts.take();
		attempt.result().complete(answered(body, headers));
		return attempt.request();
	}

	/**
	 * Waits until the router has registered for the result, which happens after the call
	 * of the client. Only then does completing the result run the router's code on the
	 * thread of the test.
	 */
	private static void awaitRouterOf(Attempt attempt) {
		while (attempt.result().getNumberOfDependents() == 0) {
			Thread.onSpinWait();
		}
	}

	private static AttemptResult answered(String body, HeaderLine... headers) {
		return new AttemptResult.Answered(200, List.of(headers), body.getBytes(StandardCharsets.UTF_8));
	}

	private static String post(String headers, String body) {
		return "POST " + CONFIRM + " HTTP/1.1\r\nHost: gateway\r\n" + headers + "\r\n" + body;
	}

	static Stream<Arguments> badRequests() {
		String length = "Content-Length: 1\r\n";
		String large = "x".repeat(MAXIMUM_BODY_BYTES + 1);
		return Stream.of(Arguments.of("unknown service", "GET /services/none/confirm HTTP/1.1\r\n\r\n", 404),
				Arguments.of("unknown operation", "GET /services/desk/none HTTP/1.1\r\n\r\n", 404),
				Arguments.of("unknown path", "GET /else HTTP/1.1\r\n\r\n", 404),
				Arguments.of("malformed deadline", post("Monsoonrelay-Deadline-Ms: soon\r\n" + length, "x"), 400),
				Arguments.of("deadline in the past", post("Monsoonrelay-Deadline-Ms: -5\r\n" + length, "x"), 503),
				Arguments.of("empty key", post("Idempotency-Key: \r\n" + length, "x"), 400),
				Arguments.of("key while the table is down", post("Idempotency-Key: k\r\n" + length, "x"), 503),
				Arguments.of("oversized body", post("Content-Length: 70000\r\n", ""), 413),
				Arguments.of("oversized chunks",
						post("Transfer-Encoding: chunked\r\n", "10001\r\n" + large + "\r\n0\r\n\r\n"), 413),
				Arguments.of("oversized header", post("A: " + "a".repeat(20000) + "\r\n" + length, "x"), 431),
				Arguments.of("oversized line", "GET /?a=" + "a".repeat(20000) + " HTTP/1.1\r\n\r\n", 414),
				Arguments.of("two lengths", post(length + "Content-Length: 2\r\n", "x"), 400),
				Arguments.of("no HTTP", "garbage\r\n\r\n", 400), Arguments.of("slow head", "POST /serv", 408),
				Arguments.of("slow body", post("Content-Length: 2\r\n", "x"), 408));
	}

	/**
	 * An attempt that was sent to a backend server.
	 *
	 * @param request what was sent
	 * @param result completed by the test
	 */
	private record Attempt(ForwardedRequest request, CompletableFuture<AttemptResult> result) {

	}

	/**
	 * An unreachable table.
	 */
	private static final class UnreachableTable implements TableService {

		@Override
		public CompletableFuture<Optional<Row>> read(String key) {
			return CompletableFuture.failedFuture(new PlatformException("down", false, null));
		}

		@Override
		public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
			return CompletableFuture.failedFuture(new PlatformException("down", false, null));
		}

		@Override
		public CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes) {
			return CompletableFuture.failedFuture(new PlatformException("down", false, null));
		}

	}

	@Nested
	class BadRequests {

		@ParameterizedTest(name = "{0}")
		@MethodSource("org.monsoonrelay.gateway.CallerRoutesTests#badRequests")
		void getAProblemAndTakeNoSlot(String name, String request, int status) throws IOException {
			String answer = CallerRoutesTests.this.caller.send(request).read();

			assertThat(answer).startsWith("HTTP/1.1 " + status)
				.contains("application/problem+json")
				.containsIgnoringCase("not run");
			assertThat(CallerRoutesTests.this.attempts).isEmpty();
			assertThat(CallerRoutesTests.this.services.unfinishedCount()).isZero();
		}

		@Test
		void areNotWrittenToDisk() throws IOException {
			String most = "f000\r\n" + "x".repeat(0xf000) + "\r\n";
			CallerRoutesTests.this.caller.send(post("Transfer-Encoding: chunked\r\n", most));

			assertThat(CallerRoutesTests.this.caller.read()).startsWith("HTTP/1.1 408");
			try (Stream<Path> files = Files.walk(Path.of(""))) {
				assertThat(files.filter((file) -> file.getFileName().toString().startsWith("Attr_"))).isEmpty();
			}
		}

		@Test
		void doNotOccupyOneThreadEach() throws IOException {
			CallerRoutesTests.this.caller.send("POST ").read();
			int before = Thread.getAllStackTraces().size();
			List<RawCaller> slow = new ArrayList<>();
			for (int index = 0; index < 50; index++) {
				slow.add(new RawCaller(CallerRoutesTests.this.address).send("POST "));
			}

			assertThat(Thread.getAllStackTraces().size()).isLessThanOrEqualTo(before + IO_THREADS);
			for (RawCaller each : slow) {
				assertThat(each.read()).startsWith("HTTP/1.1 408");
				assertThat(each.isClosedByGateway()).isTrue();
				each.close();
			}
		}

	}

	@Nested
	class CallersThatDisconnect {

		@Test
		void getTheirAnswerAfterClosingOnlyTheirSendingSide() throws Exception {
			CallerRoutesTests.this.caller.post(CONFIRM, "", "x").halfClose();
			answerNext("whole");

			assertThat(CallerRoutesTests.this.caller.read()).endsWith("whole");
			assertThat(CallerRoutesTests.this.caller.isClosedByGateway()).isTrue();
		}

		@Test
		void areDisconnectedWhenTheirRequestIsIncomplete() throws IOException {
			CallerRoutesTests.this.caller.send(post("Content-Length: 2\r\n", "x")).halfClose();

			assertThat(CallerRoutesTests.this.caller.isClosedByGateway()).isTrue();
			assertThat(CallerRoutesTests.this.attempts).isEmpty();
		}

		@Test
		void releaseTheirSlotWhenTheAttemptEnds() throws Exception {
			CallerRoutesTests.this.caller.post(CONFIRM, "", "x");
			Attempt attempt = CallerRoutesTests.this.attempts.take();
			CallerRoutesTests.this.caller.close();
			awaitRouterOf(attempt);
			assertThat(CallerRoutesTests.this.services.unfinishedCount()).isOne();

			attempt.result().complete(new AttemptResult.Incomplete(true, "timeout"));

			assertThat(CallerRoutesTests.this.services.unfinishedCount()).isZero();
		}

	}

	@Nested
	class Answers {

		@Test
		void keepAllTheirHeaders() throws Exception {
			CallerRoutesTests.this.caller.post(CONFIRM, "Via: a\r\nVia: b\r\nGuest: João\r\n", "x");
			ForwardedRequest forwarded = answerNext("whole", new HeaderLine("Set-Cookie", "a=1; Path=/"),
					new HeaderLine("Set-Cookie", "b=2"), new HeaderLine("Vary", "A"), new HeaderLine("Vary", "B"));

			assertThat(forwarded.headers()).containsExactlyInAnyOrder(new HeaderLine("Via", "a"),
					new HeaderLine("Via", "b"), new HeaderLine("Guest", "João"));
			assertThat(CallerRoutesTests.this.caller.read()).contains("set-cookie: a=1; Path=/\r\n",
					"set-cookie: b=2\r\n", "vary: A, B\r\n", "Monsoonrelay-Request-Id: request-1\r\n");
		}

		@ParameterizedTest
		@ValueSource(strings = { "application/x-www-form-urlencoded", "multipart/form-data; boundary=x", "text/plain" })
		void belongToRequestsWithUnchangedBodies(String type) throws Exception {
			String body = "--x\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\nb=1&c=2\r\n--x--\r\n";
			CallerRoutesTests.this.caller.post(CONFIRM, "Content-Type: " + type + "\r\n", body);

			ForwardedRequest forwarded = answerNext("whole");

			assertThat(forwarded.body()).asString().isEqualTo(body);
			assertThat(forwarded.headers()).containsExactly(new HeaderLine("Content-Type", type));
		}

		@Test
		void areSentInTheOrderOfTheirRequests() throws Exception {
			CallerRoutesTests.this.caller.send(post("Content-Length: 1\r\n", "1") + post("Content-Length: 1\r\n", "2"));
			Attempt first = CallerRoutesTests.this.attempts.take();
			Attempt second = CallerRoutesTests.this.attempts.poll(100, TimeUnit.MILLISECONDS);
			if (second != null) {
				second.result().complete(answered("second"));
			}
			first.result().complete(answered("first"));
			if (second == null) {
				answerNext("second");
			}

			assertThat(CallerRoutesTests.this.caller.read()).endsWith("first");
			assertThat(CallerRoutesTests.this.caller.read()).endsWith("second");
		}

		@Test
		void nameTheRequestWhenItsOutcomeIsUnknown() throws Exception {
			CallerRoutesTests.this.caller.post(CONFIRM, "", "x");
			CallerRoutesTests.this.attempts.take().result().complete(new AttemptResult.Incomplete(false, "reset"));

			assertThat(CallerRoutesTests.this.caller.read()).startsWith("HTTP/1.1 502")
				.contains("urn:monsoonrelay:problem:unknown-outcome",
						"\"instance\":\"urn:monsoonrelay:request:request-1\"");
		}

	}

}
