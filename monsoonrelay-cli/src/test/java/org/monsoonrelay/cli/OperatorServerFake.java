package org.monsoonrelay.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.StatusCode;
import org.monsoonrelay.adapters.http.HttpServer;
import org.monsoonrelay.adapters.http.Problem;
import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.adapters.operator.EditReply;
import org.monsoonrelay.adapters.operator.EditRequest;
import org.monsoonrelay.adapters.operator.ProcessStatus;
import org.monsoonrelay.adapters.operator.StateMessage;
import org.monsoonrelay.adapters.operator.WorkersRoom;
import org.monsoonrelay.logic.control.AuditPage;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.queue.JobStatus;
import org.monsoonrelay.model.host.HostAddress;

/**
 * The operators' side of an entry host, with answers set by the test. Tests change it
 * only between calls.
 */
final class OperatorServerFake implements AutoCloseable {

	static final String TOKEN = "operator-token";

	final HostAddress address;

	final List<EditRequest> edits = new CopyOnWriteArrayList<>();

	final List<String> queries = new CopyOnWriteArrayList<>();

	final Deque<EditReply> replies = new ArrayDeque<>();

	final List<Long> versionsOfPeer = new ArrayList<>(List.of(0L));

	StateMessage state = new StateMessage(0, 0, "{\"cell\":\"\"}", List.of());

	List<JobStatus> jobs = List.of();

	AuditPage page = new AuditPage(List.of(), "");

	boolean failsAfterTheEdit;

	private final HttpServer server;

	OperatorServerFake() {
		this.address = new HostAddress("127.0.0.1", freePort());
		this.server = new HttpServer(this.address, 1 << 20, this::addTo);
		this.server.start();
	}

	static int freePort() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static EditReply reply(EditReply.Outcome outcome, long version, String detail) {
		return new EditReply(outcome, version, null, List.of(), detail);
	}

	private void addTo(Jooby application) {
		application.before((context) -> {
			if (!context.header("Authorization").value("").equals("Bearer " + TOKEN)) {
				Problem.of("unauthorized", "Unauthorized", StatusCode.UNAUTHORIZED_CODE, "wrong").send(context);
			}
		});
		application.get("/operator/state", (context) -> Json.write(this.state));
		application.get("/operator/status", (context) -> Json.write(status()));
		application.get("/operator/audit", (context) -> {
			this.queries.add(context.queryString());
			return Json.write(this.page);
		});
		application.post("/operator/edits", this::edit);
	}

	private Object edit(Context context) {
		this.edits.add(Json.read(context.body().value(), EditRequest.class));
		if (this.failsAfterTheEdit) {
			Problem.of("broken", "Broken", StatusCode.SERVER_ERROR_CODE, "broke off").send(context);
			return context;
		}
		return Json.write(this.replies.poll());
	}

	private CellStatus status() {
		long peer = (this.versionsOfPeer.size() > 1) ? this.versionsOfPeer.remove(0) : this.versionsOfPeer.get(0);
		return new CellStatus(this.state.version(), this.state.textVersion(),
				List.of(new ProcessStatus("s-1", "10.0.0.9:7000", "gateway", "north", peer)), List.of(), this.jobs,
				WorkersRoom.NONE);
	}

	@Override
	public void close() {
		this.server.close();
	}

}
