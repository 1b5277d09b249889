package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * One executor, as PROTOCOL describes it. The text of a job says how long its tasks run,
 * in milliseconds, and may say how they end then. After a crash the executor runs nothing
 * and has seen no fence number; it has a new id at the same address or, where it tells
 * when it was born, keeps its id. It doesn't guard its capacity. Thread-safe.
 */
final class Executor {

	/** The list of ends in an answer holds this many at most. */
	private static final int MAX_LISTED_ENDS = 500;

	private static final long HOLD_MAX_MILLIS = 10_000;

	private static final long MAX_WAIT_MILLIS = 2000;

	private static final long HEARTBEAT_MILLIS = 1500;

	private static final ScheduledExecutorService TIMER = Executors.newScheduledThreadPool(4, (task) -> {
		Thread thread = new Thread(task, "executor-timer");
		thread.setDaemon(true);
		return thread;
	});

	private final Table table;

	private final Runs runs;

	private final Record record;

	private final String address;

	private final String zone;

	private final String rack;

	private final int cpu;

	private final boolean recordsRuns;

	private final HttpServer server;

	private final Map<String, Active> running = new LinkedHashMap<>();

	private final Map<String, Integer> attempts = new HashMap<>();

	private final Deque<End> ends = new ArrayDeque<>();

	private final boolean keepsId;

	private String id;

	private long bornMillis;

	// The jobs of which this executor leaves the next start unanswered.
	private String lateJob = "";

	private Runnable onLateStart;

	// A start that was left unanswered, to be carried out late.
	private JsonNode lateStart;

	private int boot;

	private boolean up = true;

	private long bootNanos;

	private long clockOffset;

	private long fence;

	private long leaseEndMillis;

	private volatile long lookDelayMillis;

	private boolean hasLapsed;

	private long lapses;

	private long nextEnd;

	private long sequence;

	Executor(Table table, Runs runs, Record record, String ip, int port, String zone, String rack, int cpu,
			boolean recordsRuns, boolean keepsId) throws IOException {
		this.keepsId = keepsId;
		this.table = table;
		this.runs = runs;
		this.record = record;
		this.address = ip + ":" + port;
		this.zone = zone;
		this.rack = rack;
		this.cpu = cpu;
		this.recordsRuns = recordsRuns;
		begin();
		this.server = Web.serve(ip, port, this::answer);
		TIMER.scheduleWithFixedDelay(this::beat, 0, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
		TIMER.scheduleWithFixedDelay(this::expire, 20, 20, TimeUnit.MILLISECONDS);
	}

	private synchronized void begin() {
		this.boot++;
		if (this.id == null || !this.keepsId) {
			this.id = "i-%08x".formatted(ThreadLocalRandom.current().nextInt());
		}
		this.bornMillis = System.currentTimeMillis();
		this.bootNanos = System.nanoTime();
		this.clockOffset = this.keepsId ? 0 : ThreadLocalRandom.current().nextLong(1000, 600_000);
		this.fence = 0;
		this.leaseEndMillis = 0;
		this.hasLapsed = true;
		this.nextEnd = 1;
		this.sequence = 0;
		this.running.clear();
		this.attempts.clear();
		this.ends.clear();
		this.up = true;
	}

	synchronized String id() {
		return this.id;
	}

	synchronized boolean isRunning(String taskPrefix) {
		return this.running.keySet().stream().anyMatch((task) -> task.startsWith(taskPrefix));
	}

	private synchronized void beat() {
		if (this.up) {
			ObjectNode entry = Web.object()
				.put("service", Cell.SERVICE)
				.put("address", this.address)
				.put("zone", this.zone)
				.put("version", "v1")
				.put("slots", 8)
				.put("state", "ready")
				.put("cold_remaining_ms", 0)
				.put("clock_ms", clockMillis())
				.put("sequence", ++this.sequence);
			tellBirth(entry);
			entry.putObject("capacity").put("cpu", this.cpu).put("mem_mb", 32_768).put("gpu", 0);
			entry.putArray("labels").add("a").add(this.rack);
			this.table.put("servers", this.id, entry.toString().getBytes(StandardCharsets.UTF_8));
		}
	}

	private void tellBirth(ObjectNode message) {
		if (this.keepsId) {
			message.put("born", this.bornMillis);
		}
	}

	/**
	 * Leaves the next start of a task of a job unanswered, and keeps the order.
	 * @param job the job, empty for none
	 * @param onLateStart called when the order has come
	 */
	synchronized void leaveStartUnanswered(String job, Runnable onLateStart) {
		this.lateJob = job;
		this.onLateStart = onLateStart;
	}

	synchronized boolean hasLateStart() {
		return this.lateStart != null;
	}

	/** Crashes, and carries a start that was left unanswered out when it is up again. */
	void crashAndStartLate(long downMillis) {
		crash(downMillis, true);
	}

	/** Crashes; the entry in the list goes after three heartbeats. */
	void crash(long downMillis) {
		crash(downMillis, false);
	}

	private void crash(long downMillis, boolean startsLate) {
		String former;
		synchronized (this) {
			former = this.id;
			this.up = false;
			this.running.values().forEach((active) -> this.runs.ended(active.run, "crashed", this.recordsRuns));
			this.record.tell(former, "crashes with " + this.running.size() + " runs, down for " + downMillis + " ms");
			this.running.clear();
			notifyAll();
		}
		if (!this.keepsId) {
			TIMER.schedule(() -> this.table.remove("servers", former), 3 * HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
		}
		TIMER.schedule(() -> {
			synchronized (this) {
				begin();
				this.record.tell(this.id, "is up at " + this.address);
				if (startsLate) {
					this.fence = this.lateStart.path("fencing_token").asLong();
					this.record.tell(this.id, "carries a start out late: " + this.lateStart.path("task").asText()
							+ " attempt " + this.lateStart.path("attempt").asInt() + " -> " + start(this.lateStart).code());
				}
			}
			beat();
		}, downMillis, TimeUnit.MILLISECONDS);
	}

	private long clockMillis() {
		return this.clockOffset + (System.nanoTime() - this.bootNanos) / 1_000_000;
	}

	// A lease that lapses while nothing runs counts as well.
	private synchronized void expire() {
		if (!this.up || this.hasLapsed || clockMillis() < this.leaseEndMillis) {
			return;
		}
		this.hasLapsed = true;
		this.lapses++;
		this.record.write(this.id, "lease lapsed with " + this.running.size() + " runs");
		List.copyOf(this.running.values()).forEach((active) -> end(active, "lapsed"));
	}

	/** Delays the answers to looks, which are composed before. */
	void delayLooks(long millis) {
		this.lookDelayMillis = millis;
	}

	private Answer answer(HttpExchange exchange, String path, Map<String, String> query, byte[] body)
			throws IOException, InterruptedException {
		Answer answer = answer(exchange, path, body);
		if (path.equals("/api/hold")) {
			Thread.sleep(this.lookDelayMillis);
		}
		return answer;
	}

	private Answer answer(HttpExchange exchange, String path, byte[] body) throws IOException, InterruptedException {
		synchronized (this) {
			if (!this.up) {
				return null;
			}
			if (path.equals("/healthz")) {
				return new Answer(200, Web.object());
			}
			String expected = exchange.getRequestHeaders().getFirst("X-Monsoonrelay-Expect-Instance");
			if (expected != null && !expected.equals(this.id)) {
				return new Answer(421, Web.object());
			}
			JsonNode order = Web.JSON.readTree(body);
			long token = order.path("fencing_token").asLong();
			if (token < this.fence) {
				return refusal("fence");
			}
			this.fence = token;
			boolean isLate = path.equals("/api/run-start") && !this.lateJob.isEmpty()
					&& order.path("task").asText().startsWith(this.lateJob);
			if (isLate) {
				this.lateJob = "";
				this.lateStart = order;
				this.onLateStart.run();
				this.record.tell(this.id, "leaves a start unanswered: " + order.path("task").asText());
				return null;
			}
			return switch (path) {
				case "/api/run-start" -> start(order);
				case "/api/run-stop" -> stop(order);
				case "/api/pace" -> done();
				case "/api/hold" -> hold(order);
				default -> new Answer(404, Web.object());
			};
		}
	}

	private Answer done() {
		return new Answer(200, Web.object().put("clock_ms", clockMillis()));
	}

	private Answer refusal(String reason) {
		return new Answer(409, Web.object().put("clock_ms", clockMillis()).put("reason", reason));
	}

	private void extendLease(JsonNode order) {
		expire();
		if (order.has("deadline_ms")) {
			long end = Math.min(order.path("deadline_ms").asLong(), clockMillis() + HOLD_MAX_MILLIS);
			this.leaseEndMillis = Math.max(this.leaseEndMillis, end);
			this.hasLapsed &= clockMillis() >= this.leaseEndMillis;
		}
	}

	private Answer start(JsonNode order) {
		String task = order.path("task").asText();
		int attempt = order.path("attempt").asInt();
		if (order.path("deadline_ms").asLong() <= clockMillis()) {
			return refusal("late");
		}
		extendLease(order);
		Active active = this.running.get(task);
		if (active != null && active.run.attempt == attempt) {
			return done();
		}
		if (attempt <= this.attempts.getOrDefault(task, 0)) {
			return refusal("old");
		}
		this.attempts.put(task, attempt);
		Active started = new Active(this.runs.started(task, attempt, this.id, this.recordsRuns));
		this.running.put(task, started);
		int ofBoot = this.boot;
		String[] spec = order.path("spec").asText().split(" ");
		String how = (spec.length > 1) ? spec[1] : "done";
		TIMER.schedule(() -> complete(started, ofBoot, how), Long.parseLong(spec[0]), TimeUnit.MILLISECONDS);
		return done();
	}

	private synchronized void complete(Active active, int ofBoot, String how) {
		if (this.boot == ofBoot && this.running.get(active.run.task) == active) {
			end(active, how);
		}
	}

	private void end(Active active, String how) {
		this.running.remove(active.run.task);
		this.runs.ended(active.run, how, this.recordsRuns);
		this.ends.add(new End(this.nextEnd++, active.run, this.lapses));
		notifyAll();
	}

	private Answer stop(JsonNode order) {
		String task = order.path("task").asText();
		int attempt = order.path("attempt").asInt();
		this.attempts.merge(task, attempt, Math::max);
		Active active = this.running.get(task);
		if (active != null && active.run.attempt <= attempt) {
			end(active, "stopped");
		}
		return done();
	}

	private Answer hold(JsonNode order) throws InterruptedException {
		extendLease(order);
		long cursor = order.path("ack_cursor").asLong();
		while (!this.ends.isEmpty() && this.ends.peekFirst().number <= cursor) {
			End end = this.ends.removeFirst();
			this.runs.acknowledged(end.run, end.lapses != this.lapses);
		}
		int ofBoot = this.boot;
		long until = System.nanoTime()
				+ TimeUnit.MILLISECONDS.toNanos(Math.min(MAX_WAIT_MILLIS, order.path("wait_ms").asLong()));
		while (this.up && this.boot == ofBoot && this.ends.isEmpty() && System.nanoTime() - until < 0) {
			wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
		}
		if (!this.up || this.boot != ofBoot) {
			return null;
		}
		ObjectNode answer = Web.object().put("clock_ms", clockMillis());
		tellBirth(answer);
		ArrayNode active = answer.putArray("running");
		this.running.values().forEach((one) -> active.addArray().add(one.run.task).add(one.run.attempt).add("").add(100)
			.add(0));
		ArrayNode finished = answer.putArray("finished");
		for (End end : this.ends) {
			if (finished.size() >= MAX_LISTED_ENDS) {
				this.record.write(this.id, "lists " + MAX_LISTED_ENDS + " of " + this.ends.size() + " ends to fence "
						+ this.fence);
				break;
			}
			finished.addArray().add(end.number).add(end.run.task).add(end.run.attempt).add(end.run.how).add("");
		}
		return new Answer(200, answer);
	}

	void close() {
		this.server.stop(0);
	}

	/** A run that is active here. */
	private static final class Active {

		final Runs.Run run;

		Active(Runs.Run run) {
			this.run = run;
		}

	}

	/** An end that is kept until a cursor reaches it. */
	private static final class End {

		final long number;

		final Runs.Run run;

		final long lapses;

		End(long number, Runs.Run run, long lapses) {
			this.number = number;
			this.run = run;
			this.lapses = lapses;
		}

	}

}
