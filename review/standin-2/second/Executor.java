package second;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * One life of an executor: fences, leases, attempts and ends as PROTOCOL.md tells them. A
 * task works for the milliseconds that its job's spec names and ends as done.
 */
final class Executor implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final long HOLD_MAX_MILLIS = 10_000;

	private static final int MOST_ENDS = 500;

	/** "8 slots and 64 channels each". */
	private static final int MOST_CHANNELS = 64;

	private record End(long number, String task, int attempt, String how, long nanos) {

	}

	private final String id;

	private final Runs runs;

	private final ScheduledExecutorService timer;

	private final CappedServer server;

	private final long bornNanos = System.nanoTime();

	private final Map<String, Integer> running = new LinkedHashMap<>();

	private final Map<String, Integer> highest = new HashMap<>();

	private final List<End> ends = new ArrayList<>();

	private long lastNumber;

	private long fence;

	private long leaseEndMillis;

	// When this executor was last seen without a lease.
	private long lapsedNanos = System.nanoTime();

	Executor(String id, String ip, Runs runs, ScheduledExecutorService timer) {
		this.id = id;
		this.runs = runs;
		this.timer = timer;
		this.server = new CappedServer(ip, MOST_CHANNELS, this::handle);
		timer.scheduleWithFixedDelay(this::expire, 20, 20, TimeUnit.MILLISECONDS);
	}

	String id() {
		return this.id;
	}

	String entry(String service, String zone, int processors, long sequence) {
		return """
				{"service":"%s","address":"%s","zone":"%s","version":"1","slots":8,"state":"ready",\
				"cold_remaining_ms":0,"sequence":%d,"capacity":{"cpu":%d,"mem_mb":32768,"gpu":0},"labels":["a","r1"]}"""
			.formatted(service, this.server.address(), zone, sequence, processors);
	}

	private long clockMillis() {
		return (System.nanoTime() - this.bornNanos) / 1_000_000 + 1;
	}

	String channels() {
		return this.server.channels() + " channels, " + this.server.resets() + " were reset";
	}

	private CappedServer.Answer handle(String path, Map<String, String> headers, byte[] text) throws Exception {
		JsonNode body = JSON.readTree(text);
		String expected = headers.get("x-monsoonrelay-expect-instance");
		if (expected != null && !expected.equals(this.id)) {
			return answer(421, Map.of());
		}
		return switch (path) {
			case "/api/run-start" -> start(body);
			case "/api/run-stop" -> stop(body);
			case "/api/hold" -> hold(body);
			case "/api/pace" -> answer(200, Map.of("clock_ms", clockMillis()));
			default -> answer(404, Map.of());
		};
	}

	private synchronized boolean isFenced(JsonNode body) {
		long token = body.path("fencing_token").asLong();
		if (token < this.fence) {
			return true;
		}
		this.fence = token;
		return false;
	}

	private synchronized void extend(JsonNode body) {
		expire();
		if (body.hasNonNull("deadline_ms")) {
			long asked = Math.min(body.path("deadline_ms").asLong(), clockMillis() + HOLD_MAX_MILLIS);
			this.leaseEndMillis = Math.max(this.leaseEndMillis, asked);
		}
	}

	private CappedServer.Answer start(JsonNode body) throws IOException {
		String reason = "";
		synchronized (this) {
			String task = body.path("task").asText();
			int attempt = body.path("attempt").asInt();
			if (isFenced(body)) {
				reason = "fence";
			}
			else if (this.running.getOrDefault(task, -1) == attempt) {
				extend(body);
			}
			else if (attempt <= this.highest.getOrDefault(task, 0)) {
				extend(body);
				reason = "old";
			}
			else if (body.path("deadline_ms").asLong() <= clockMillis()) {
				reason = "late";
			}
			else {
				extend(body);
				this.running.put(task, attempt);
				this.runs.started(task, attempt, this.id);
				long work = Long.parseLong(body.path("spec").asText());
				this.timer.schedule(() -> end(task, attempt, "done"), work, TimeUnit.MILLISECONDS);
			}
		}
		return answer(reason.isEmpty() ? 200 : 409, reason.isEmpty() ? Map.of("clock_ms", clockMillis())
				: Map.of("clock_ms", clockMillis(), "reason", reason));
	}

	private CappedServer.Answer stop(JsonNode body) throws IOException {
		boolean fenced;
		synchronized (this) {
			fenced = isFenced(body);
			if (!fenced) {
				String task = body.path("task").asText();
				int attempt = body.path("attempt").asInt();
				this.highest.merge(task, attempt, Math::max);
				end(task, attempt, "stopped");
			}
		}
		return answer(fenced ? 409 : 200, fenced ? Map.of("clock_ms", clockMillis(), "reason", "fence")
				: Map.of("clock_ms", clockMillis()));
	}

	private synchronized void end(String task, int attempt, String how) {
		if (!this.running.remove(task, attempt)) {
			return;
		}
		this.highest.merge(task, attempt, Math::max);
		this.ends.add(new End(++this.lastNumber, task, attempt, how, System.nanoTime()));
		this.runs.ended(task, attempt, this.id, how);
		notifyAll();
	}

	private synchronized void expire() {
		if (clockMillis() > this.leaseEndMillis) {
			this.lapsedNanos = System.nanoTime();
			Map.copyOf(this.running).forEach((task, attempt) -> end(task, attempt, "lapsed"));
		}
	}

	private CappedServer.Answer hold(JsonNode body) throws IOException, InterruptedException {
		Map<String, Object> lists = new LinkedHashMap<>();
		synchronized (this) {
			if (isFenced(body)) {
				return answer(409, Map.of("clock_ms", clockMillis(), "reason", "fence"));
			}
			extend(body);
			long cursor = body.path("ack_cursor").asLong();
			this.ends.stream()
				.filter((end) -> end.number() <= cursor)
				// "unless the executor's lease lapsed between the two"
				.filter((end) -> end.nanos() - this.lapsedNanos > 0)
				.forEach((end) -> this.runs.noted(end.task(), end.attempt(), end.how(), this.id));
			this.ends.removeIf((end) -> end.number() <= cursor);
			long endNanos = System.nanoTime() + Math.min(2000, body.path("wait_ms").asLong()) * 1_000_000;
			while (this.ends.isEmpty() && System.nanoTime() - endNanos < 0) {
				wait(Math.max(1, (endNanos - System.nanoTime()) / 1_000_000));
			}
			List<Object> listed = new ArrayList<>();
			this.running.forEach((task, attempt) -> listed.add(List.of(task, attempt, "", 100, 0)));
			lists.put("clock_ms", clockMillis());
			lists.put("running", listed);
			lists.put("finished",
					this.ends.stream()
						.limit(MOST_ENDS)
						.map((end) -> List.of(end.number(), end.task(), end.attempt(), end.how(), ""))
						.toList());
		}
		return answer(200, lists);
	}

	private static CappedServer.Answer answer(int code, Object body) throws IOException {
		return new CappedServer.Answer(code, JSON.writeValueAsBytes(body));
	}

	@Override
	public void close() {
		this.server.close();
	}

}
