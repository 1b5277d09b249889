package org.monsoonrelay.systemtests.host;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The calls of hosts to the table, which may be away, slow, cut off and late. An answer
 * of {@code null} stands for a connection that is closed without one. Invariants: a write
 * is executed once at most, after its answer was lost only while its conditions hold; the
 * writes to one partition come one after another. Thread-safe.
 */
final class TableTroubles {

	private static final Answer UNAVAILABLE = new Answer(503, Map.of());

	private static final int LATEST_WRITE_MILLIS = 2500;

	private static final int PERCENT = 100;

	private final long callMillis;

	private final PlatformForm.AnswerCut cut;

	private final Random random;

	private final Map<String, Object> partitions = new ConcurrentHashMap<>();

	private volatile boolean away;

	private volatile long slowMillis;

	private volatile int lateWritesPercent;

	private volatile int lostAnswersPercent;

	private volatile int resets;

	private ScheduledExecutorService timer;

	/**
	 * Create the calls to a table without troubles.
	 * @param callMillis how long a call takes
	 * @param cut how long answers to calls for changes may be
	 * @param seed decides which calls meet a trouble
	 */
	TableTroubles(long callMillis, PlatformForm.AnswerCut cut, long seed) {
		this.callMillis = callMillis;
		this.cut = cut;
		this.random = new Random(seed);
	}

	/**
	 * Set what executes late writes.
	 * @param timer the timer
	 */
	void executeLateWith(ScheduledExecutorService timer) {
		this.timer = timer;
	}

	void setAway(boolean isAway) {
		this.away = isAway;
	}

	/**
	 * Let each call take longer.
	 * @param millis by how much at most
	 */
	void setSlow(long millis) {
		this.slowMillis = millis;
	}

	/**
	 * Leave writes unanswered.
	 * @param latePercent share of those that are executed later
	 * @param lostPercent share of those that are executed at once
	 */
	void loseAnswers(int latePercent, int lostPercent) {
		this.lateWritesPercent = latePercent;
		this.lostAnswersPercent = lostPercent;
	}

	/**
	 * Close all connections on which a call is open.
	 */
	synchronized void reset() {
		this.resets++;
	}

	Answer commit(TableFake table, JsonNode write) throws InterruptedException {
		int resetsBefore = this.resets;
		pause();
		int drawn = draw();
		if (this.away) {
			return (drawn % 2 == 0) ? UNAVAILABLE : null;
		}
		if (drawn < this.lateWritesPercent) {
			this.timer.schedule(() -> table.commit(write), ThreadLocalRandom.current().nextInt(LATEST_WRITE_MILLIS),
					TimeUnit.MILLISECONDS);
			return null;
		}
		Answer answer;
		synchronized (this.partitions.computeIfAbsent(partition(write), (name) -> new Object())) {
			TimeUnit.MILLISECONDS.sleep(this.callMillis);
			answer = table.commit(write);
		}
		boolean isLost = drawn < this.lateWritesPercent + this.lostAnswersPercent || resetsBefore != this.resets;
		return isLost ? null : answer;
	}

	private static String partition(JsonNode write) {
		return write.path("puts").path(0).path("part").asText("");
	}

	Answer read(TableFake table, Map<String, String> query) throws InterruptedException {
		int resetsBefore = this.resets;
		TimeUnit.MILLISECONDS.sleep(this.callMillis);
		pause();
		Answer answer = this.away ? UNAVAILABLE : table.read(query.get("table"), query.get("part"),
				query.getOrDefault("from", ""), Integer.parseInt(query.get("limit")));
		return (resetsBefore != this.resets) ? null : answer;
	}

	Answer changes(TableFake table, Map<String, String> query) throws InterruptedException {
		int resetsBefore = this.resets;
		pause();
		if (this.away) {
			return UNAVAILABLE;
		}
		Answer answer = table.changes(query.get("table"), Long.parseLong(query.get("depends_on")),
				Long.parseLong(query.get("wait_ms")), this.cut.rows(), () -> this.away || resetsBefore != this.resets);
		return (this.away || resetsBefore != this.resets) ? null : answer;
	}

	private void pause() throws InterruptedException {
		long most = this.slowMillis;
		if (most > 0) {
			TimeUnit.MILLISECONDS.sleep(most * draw() / PERCENT);
		}
	}

	private synchronized int draw() {
		return this.random.nextInt(PERCENT);
	}

}
