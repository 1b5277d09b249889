package org.monsoonrelay.cli;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.adapters.operator.EditReply;
import org.monsoonrelay.adapters.operator.EditRequest;
import org.monsoonrelay.adapters.operator.StateMessage;
import org.monsoonrelay.logic.control.AuditPage;
import org.monsoonrelay.logic.control.AuditQuery;
import org.monsoonrelay.logic.platform.Json;

/**
 * Calls the operators' side of the entry hosts, the next one when one is down. An edit
 * keeps its identity over such repeats, so that it is made once. Not thread-safe.
 */
final class OperatorClient {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int UNAUTHORIZED = 401;

	private static final int SERVER_ERROR = 500;

	private final List<String> hosts;

	private final String token;

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.connectTimeout(Duration.ofSeconds(2))
		.callTimeout(TIMEOUT)
		.build();

	OperatorClient(List<String> hosts, String token) {
		this.hosts = List.copyOf(hosts);
		this.token = token;
	}

	StateMessage state() {
		return Json.read(call("/operator/state", null), StateMessage.class);
	}

	CellStatus status() {
		return Json.read(call("/operator/status", null), CellStatus.class);
	}

	AuditPage audit(AuditQuery query) {
		StringBuilder path = new StringBuilder("/operator/audit?limit=").append(query.limit());
		path.append("&after=").append(encode(query.after()));
		query.operator().ifPresent((operator) -> path.append("&operator=").append(encode(operator)));
		query.kind().ifPresent((kind) -> path.append("&kind=").append(kind));
		return Json.read(call(path.toString(), null), AuditPage.class);
	}

	private static String encode(String value) {
		return URLEncoder.encode(value, StandardCharsets.UTF_8);
	}

	EditReply edit(EditRequest request) {
		return Json.read(call("/operator/edits", Json.write(request)), EditReply.class);
	}

	private String call(String path, String body) {
		List<String> failures = new ArrayList<>();
		for (String host : this.hosts) {
			Request.Builder request = new Request.Builder().header("Authorization", "Bearer " + this.token);
			if (body != null) {
				request.post(RequestBody.create(body, JSON));
			}
			try (Response response = this.client.newCall(request.url("http://" + host + path).build()).execute()) {
				String answer = response.body().string();
				if (response.isSuccessful()) {
					return answer;
				}
				if (response.code() == UNAUTHORIZED) {
					throw new CommandFailure(Program.FAILED, host + ": the credential is missing or wrong");
				}
				if (response.code() < SERVER_ERROR) {
					throw new CommandFailure(Program.FAILED, host + ": " + answer);
				}
				failures.add(host + ": answered " + response.code());
			}
			catch (IOException ex) {
				failures.add(host + ": " + ex.getMessage());
			}
			catch (IllegalArgumentException ex) {
				throw new CommandFailure(Program.INVALID, "not a host (HOST:PORT): " + host);
			}
		}
		throw new CommandFailure(Program.UNREACHABLE, "no entry host answered: " + String.join("; ", failures));
	}

}
