package review;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients of the queue. A job that got no answer, 502 or 504 is sent again under its id,
 * one that was rejected with 429 or 503 after a second. Thread-safe.
 */
final class Client {

	private static final int TRIES = 5;

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private final HttpClient http = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofMillis(800))
		.build();

	private final AtomicInteger next = new AtomicInteger();

	private final List<Host> hosts;

	private final Record record;

	Client(List<Host> hosts, Record record) {
		this.hosts = hosts;
		this.record = record;
	}

	static String newId() {
		return "%016x".formatted(ThreadLocalRandom.current().nextLong());
	}

	/**
	 * Sends a job until it is accepted.
	 * @return whether it was accepted
	 */
	boolean submit(String id, String job, boolean isRecorded) throws InterruptedException {
		for (int i = 0; i < TRIES; i++) {
			int code = call("POST", id, job).code();
			if (isRecorded) {
				this.record.write("client", "POST " + id + " -> " + ((code < 0) ? "no answer" : code) + " "
						+ ((job.length() > 300) ? job.substring(0, 300) + "..." : job));
			}
			if (code >= 200 && code < 300) {
				return true;
			}
			if (code == 429 || code == 503) {
				Thread.sleep(1000);
			}
		}
		return false;
	}

	/** Asks for the state of a job; an answer without a state is given by its code. */
	String state(String id) {
		Reply reply = call("GET", id, null);
		if (reply.code() == 200) {
			try {
				return Web.JSON.readTree(reply.body()).path("state").asText();
			}
			catch (IOException ex) {
				return "unreadable";
			}
		}
		return (reply.code() < 0) ? "no answer" : "" + reply.code();
	}

	private Reply call(String method, String id, String body) {
		Host host = this.hosts.get(Math.floorMod(this.next.getAndIncrement(), this.hosts.size()));
		HttpRequest.BodyPublisher publisher = (body != null) ? HttpRequest.BodyPublishers.ofString(body)
				: HttpRequest.BodyPublishers.noBody();
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + host.callers() + Cell.PREFIX + id))
			.timeout(TIMEOUT)
			.header("Host", Cell.QUEUE_HOST)
			.header("Content-Type", "application/json")
			.header("X-Monsoonrelay-Deadline-Ms", "" + TIMEOUT.toMillis())
			.method(method, publisher)
			.build();
		try {
			// The timeout of the request does not cover the body.
			HttpResponse<String> response = this.http.sendAsync(request, HttpResponse.BodyHandlers.ofString())
				.get(TIMEOUT.toMillis() + 200, TimeUnit.MILLISECONDS);
			return new Reply(response.statusCode(), response.body());
		}
		catch (ExecutionException | TimeoutException ex) {
			return new Reply(-1, "");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return new Reply(-1, "");
		}
	}

	private record Reply(int code, String body) {

	}

}
