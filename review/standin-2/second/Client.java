package second;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** A client of one queue, which gives each call three seconds. */
final class Client {

	/** Name under which clients call the queue. */
	static final String HOST = "salon.example";

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(1))
		.build();

	private final Record record;

	private final String prefix;

	Client(Record record, String prefix) {
		this.record = record;
		this.prefix = prefix;
	}

	/** Returns the status, or -1 without an answer. */
	int submit(Host host, String id, String body) {
		HttpResponse<String> answer = call(host, "POST", id, body);
		int code = (answer != null) ? answer.statusCode() : -1;
		this.record.line("client", "POST " + id + " at " + host.name() + " -> " + code);
		return code;
	}

	/** Returns the status, or -1 without an answer. */
	int cancel(Host host, String id) {
		HttpResponse<String> answer = call(host, "DELETE", id, "");
		int code = (answer != null) ? answer.statusCode() : -1;
		this.record.line("client", "DELETE " + id + " at " + host.name() + " -> " + code);
		return code;
	}

	/** Returns the state, or the status, or nothing. */
	String state(Host host, String id) {
		HttpResponse<String> answer = call(host, "GET", id, "");
		if (answer == null) {
			return "no answer";
		}
		return (answer.statusCode() == 200) ? answer.body().replaceAll(".*\"state\":\"([a-z]+)\".*", "$1")
				: "" + answer.statusCode();
	}

	private HttpResponse<String> call(Host host, String method, String id, String body) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + host.callers() + this.prefix + id))
			.timeout(Duration.ofSeconds(3))
			.header("Host", HOST)
			.header("Content-Type", "application/json")
			.header("X-Monsoonrelay-Deadline-Ms", "3000")
			.method(method, body.isEmpty() ? HttpRequest.BodyPublishers.noBody()
					: HttpRequest.BodyPublishers.ofString(body))
			.build();
		try {
			return this.client.send(request, HttpResponse.BodyHandlers.ofString());
		}
		catch (IOException ex) {
			return null;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return null;
		}
	}

}
