package org.monsoonrelay.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import com.fasterxml.jackson.core.JsonProcessingException;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.monsoonrelay.adapters.http.Problem;
import org.monsoonrelay.adapters.logging.Program;
import org.monsoonrelay.adapters.operator.CellStatus;
import org.monsoonrelay.adapters.operator.EditReply;
import org.monsoonrelay.adapters.operator.EditRequest;
import org.monsoonrelay.adapters.operator.StateMessage;
import org.monsoonrelay.logic.control.AuditPage;
import org.monsoonrelay.logic.control.AuditQuery;
import org.monsoonrelay.logic.platform.Json;

/**
 * Calls the operators' side of the entry hosts, the next one when one is down or cut off
 * from the platform. An edit keeps its identity over such repeats, so that it is made
 * once; if an answer to it was lost and no other host could tell, it is unsettled. Not
 * thread-safe.
 */
final class OperatorClient {

	private static final MediaType JSON = MediaType.get("application/json");

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private static final int UNAUTHORIZED = 401;

	private static final int SERVER_ERROR = 500;

	private final List<String> hosts;

	private final String token;

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.connectTimeout(CONNECT_TIMEOUT)
		.callTimeout(TIMEOUT)
		.build();

	OperatorClient(List<String> hosts, String token) {
		this.hosts = List.copyOf(hosts);
		this.token = token;
	}

	StateMessage state() {
		return Json.read(read("/operator/state"), StateMessage.class);
	}

	CellStatus status() {
		return Json.read(read("/operator/status"), CellStatus.class);
	}

	AuditPage audit(AuditQuery query) {
		StringBuilder path = new StringBuilder("/operator/audit?limit=").append(query.limit());
		path.append("&after=").append(encode(query.after()));
		query.operator().ifPresent((operator) -> path.append("&operator=").append(encode(operator)));
		query.kind().ifPresent((kind) -> path.append("&kind=").append(kind));
		return Json.read(read(path.toString()), AuditPage.class);
	}

	private static String encode(String value) {
		return URLEncoder.encode(value, StandardCharsets.UTF_8);
	}

	private String read(String path) {
		Failures failures = new Failures();
		return first(path, null, failures, (answer) -> true)
			.orElseThrow(() -> new CommandFailure(Program.UNREACHABLE, failures.message()));
	}

	EditReply edit(EditRequest request) {
		Failures failures = new Failures();
		Optional<String> answer = first("/operator/edits", Json.write(request), failures, (body) -> {
			EditReply reply = Json.read(body, EditReply.class);
			return switch (reply.outcome()) {
				case ACCEPTED, CONFLICT, INVALID -> true;
				case UNAVAILABLE, UNSETTLED -> {
					failures.doubt |= reply.outcome() == EditReply.Outcome.UNSETTLED;
					failures.details.add(reply.detail());
					yield false;
				}
			};
		});
		return answer.map((body) -> Json.read(body, EditReply.class)).orElseGet(() -> {
			EditReply.Outcome outcome = failures.doubt ? EditReply.Outcome.UNSETTLED : EditReply.Outcome.UNAVAILABLE;
			return new EditReply(outcome, 0, null, List.of(), failures.message());
		});
	}

	private Optional<String> first(String path, String body, Failures failures, Predicate<String> settles) {
		for (String host : this.hosts) {
			Optional<String> answer = call(host, path, body, failures).filter(settles);
			if (answer.isPresent()) {
				return answer;
			}
		}
		return Optional.empty();
	}

	private Optional<String> call(String host, String path, String body, Failures failures) {
		Request.Builder request = new Request.Builder().header("Authorization", "Bearer " + this.token);
		if (body != null) {
			request.post(RequestBody.create(body, JSON));
		}
		HttpUrl url = HttpUrl.parse("http://" + host + path);
		if (url == null) {
			throw new CommandFailure(Program.INVALID, "not a host (HOST:PORT): " + host);
		}
		try (Response response = this.client.newCall(request.url(url).build()).execute()) {
			String answer = response.body().string();
			if (response.isSuccessful()) {
				return Optional.of(answer);
			}
			refuse(host, response.code(), answer);
			failures.doubt = true;
			failures.details.add(host + ": " + detail(answer));
		}
		catch (IOException ex) {
			failures.doubt |= !(ex instanceof ConnectException || ex instanceof NoRouteToHostException);
			failures.details.add(host + ": " + ex.getMessage());
		}
		return Optional.empty();
	}

	private static void refuse(String host, int code, String answer) {
		if (code == UNAUTHORIZED) {
			throw new CommandFailure(Program.FAILED, host + ": the credential is missing or wrong");
		}
		if (code < SERVER_ERROR) {
			throw new CommandFailure(Program.FAILED, host + ": " + detail(answer));
		}
	}

	private static String detail(String answer) {
		try {
			return Json.readLeniently(answer, Problem.class).detail();
		}
		catch (JsonProcessingException ex) {
			return answer.lines().findFirst().orElse("an empty answer");
		}
	}

	/**
	 * What went wrong at the hosts tried so far, and whether one of them may have done
	 * what was asked.
	 */
	private static final class Failures {

		private final List<String> details = new ArrayList<>();

		private boolean doubt;

		String message() {
			return "no entry host could serve: " + String.join("; ", this.details);
		}

	}

}
