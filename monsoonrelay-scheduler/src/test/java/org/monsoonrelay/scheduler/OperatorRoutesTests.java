package org.monsoonrelay.scheduler;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.monsoonrelay.adapters.http.HttpServer;
import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.adapters.operator.EditReply;
import org.monsoonrelay.adapters.operator.EditRequest;
import org.monsoonrelay.adapters.operator.WorkersRoom;
import org.monsoonrelay.logic.control.ControlLog;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.ObjectStore;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.model.control.EditKind;
import org.monsoonrelay.model.control.EditRecord;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.scheduler.SchedulerSettings.OperatorCredential;

import static org.assertj.core.api.Assertions.assertThat;

class OperatorRoutesTests {

	private static final String TEXT = """
			{"cell": "c", "teams": [{"name": "crew", "weight": 1,
			"quota": {"processors": 1, "memoryMiB": 1, "accelerators": 0}}]}""";

	private final EmptyPlatform platform = new EmptyPlatform();

	private HttpServer server;

	private HostAddress address;

	@BeforeEach
	void start() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.address = new HostAddress("127.0.0.1", socket.getLocalPort());
		}
		ControlLog log = new ControlLog(this.platform, this.platform, () -> Instant.EPOCH);
		OperatorAccess access = new OperatorAccess(List.of(new OperatorCredential("ana", "token-of-ana"),
				new OperatorCredential("biju", "token-of-biju")));
		CellStatus status = new CellStatus(0, 0, List.of(), List.of(), List.of(), WorkersRoom.NONE);
		OperatorRoutes routes = new OperatorRoutes(access, log, new ControlTracker(),
				() -> CompletableFuture.completedFuture(status));
		this.server = new HttpServer(this.address, 1 << 20, routes::addTo);
		this.server.start();
	}

	@AfterEach
	void close() {
		this.server.close();
	}

	private Answer call(String path, String authorization, Object body) throws IOException {
		Request.Builder request = new Request.Builder().url(this.address.url() + path);
		if (!authorization.isEmpty()) {
			request.header("Authorization", authorization);
		}
		if (body != null) {
			request.post(RequestBody.create(Json.write(body), MediaType.get("application/json")));
		}
		try (Response response = new OkHttpClient().newCall(request.build()).execute()) {
			return new Answer(response.code(), response.body().string());
		}
	}

	@ParameterizedTest
	@CsvSource({ "''", "Bearer guess", "Bearer token-of-an", "bearer token-of-ana", "token-of-ana", "'Bearer '" })
	void requestsWithoutAValidCredentialAreRejectedAndChangeNothing(String authorization) throws IOException {
		for (String path : List.of("/operator/state", "/operator/status", "/operator/audit")) {
			assertThat(call(path, authorization, null).code()).isEqualTo(401);
		}
		EditRequest edit = new EditRequest("e1", EditKind.APPLY, TEXT, List.of(), null);

		assertThat(call("/operator/edits", authorization, edit).code()).isEqualTo(401);
		assertThat(this.platform.writes).isEmpty();
	}

	@Test
	void editIsAttributedToTheOperatorOfTheCredential() throws IOException {
		EditRequest edit = new EditRequest("e1", EditKind.APPLY, TEXT, List.of(), null);
		Answer answer = call("/operator/edits", "Bearer token-of-biju", edit);

		assertThat(Json.read(answer.body(), EditReply.class).outcome()).isEqualTo(EditReply.Outcome.ACCEPTED);
		assertThat(this.platform.writes).filteredOn((write) -> write.key().equals(TableKeys.edit(1)))
			.singleElement()
			.extracting((write) -> Json.read(write.value(), EditRecord.class).operator())
			.isEqualTo("biju");
	}

	@Test
	void unreadableRequestIsAnsweredWithAProblem() throws IOException {
		Answer answer = call("/operator/edits", "Bearer token-of-ana", List.of());
		Answer kind = call("/operator/audit?kind=COLOUR", "Bearer token-of-ana", null);

		assertThat(answer.code()).isEqualTo(400);
		assertThat(answer.body()).contains("invalid-request");
		assertThat(kind.code()).isEqualTo(400);
	}

	private record Answer(int code, String body) {

	}

	/**
	 * A platform without rows and objects that records all writes.
	 */
	private static final class EmptyPlatform implements TableService, ObjectStore {

		private final List<ConditionalWrite> writes = new ArrayList<>();

		@Override
		public CompletableFuture<Optional<Row>> read(String key) {
			return CompletableFuture.completedFuture(Optional.empty());
		}

		@Override
		public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
			return CompletableFuture.completedFuture(List.of());
		}

		@Override
		public CompletableFuture<CommitResult> commit(List<ConditionalWrite> transaction) {
			this.writes.addAll(transaction);
			return CompletableFuture.completedFuture(new CommitResult.Committed(Map.of()));
		}

		@Override
		public CompletableFuture<Void> put(String name, String content) {
			return CompletableFuture.completedFuture(null);
		}

		@Override
		public CompletableFuture<Optional<String>> get(String name) {
			return CompletableFuture.completedFuture(Optional.empty());
		}

	}

}
