package org.monsoonrelay.logic.pool;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.monsoonrelay.model.submission.TaskKey;

/**
 * Start requests that must not be executed twice and are not known to have been executed.
 * A worker may still execute them, and so may its next incarnation, even if this one
 * refuses them by now. Invariants: a start is contained from its request on until it is
 * answered, its run is reported, or the request is older than
 * {@link #MAX_EXECUTION_DELAY_MILLIS}; its task is not started again before. Not
 * thread-safe: confined to the control thread.
 */
final class UnresolvedStarts {

	/**
	 * Time after which a start request that was not answered is taken to be lost,
	 * milliseconds. Workers execute requests up to 12 s late.
	 */
	static final long MAX_EXECUTION_DELAY_MILLIS = 12_500;

	/** Maximum starts in the owner record: a row takes 48 KB, a start 28 bytes. */
	static final int MAX_RECORDED = 300;

	/** Maximum expiries in the owner record, 30 bytes each. */
	private static final int MAX_RECORDED_EXPIRIES = 100;

	/**
	 * Age from which on a start is worth a write of the owner record, milliseconds. Most
	 * are answered within 2 ms.
	 */
	private static final long RECORDING_AGE_MILLIS = 10;

	/**
	 * Age from which on a request is not sent again, milliseconds. Only one with an
	 * answer is, and none comes after 450 ms.
	 */
	private static final long FINAL_AGE_MILLIS = 1000;

	private static final System.Logger LOGGER = System.getLogger(UnresolvedStarts.class.getName());

	private final Map<TaskKey, Start> starts = new HashMap<>();

	private long lastRecordedNanos;

	/**
	 * Records a start request that is about to be sent.
	 * @param task the task
	 * @param attempt the attempt in the request
	 * @param nowNanos the current monotonic time
	 */
	void record(TaskKey task, int attempt, long nowNanos) {
		this.starts.put(task, new Start(attempt, nowNanos));
	}

	/**
	 * Removes a start whose request was answered or whose run is reported.
	 * @param task the task
	 * @param attempt the attempt
	 */
	void resolve(TaskKey task, int attempt) {
		Start start = this.starts.get(task);
		if (start != null && start.attempt() == attempt) {
			this.starts.remove(task);
		}
	}

	/**
	 * Removes the starts whose requests are lost.
	 * @param nowNanos the current monotonic time
	 */
	void expire(long nowNanos) {
		if (!this.starts.isEmpty()) {
			this.starts.values().removeIf((start) -> start.ageMillis(nowNanos) >= MAX_EXECUTION_DELAY_MILLIS);
		}
	}

	/**
	 * Returns the tasks whose start requests may still be executed.
	 * @return the tasks
	 */
	Set<TaskKey> tasks() {
		return this.starts.keySet();
	}

	boolean isEmpty() {
		return this.starts.isEmpty();
	}

	/**
	 * Returns whether a start request of a task may still be executed.
	 * @param task the task
	 * @return {@code true} if the task must not be started
	 */
	boolean contains(TaskKey task) {
		return this.starts.containsKey(task);
	}

	/**
	 * Returns the age of a start request.
	 * @param task the task
	 * @param attempt the attempt
	 * @param nowNanos the current monotonic time
	 * @return milliseconds, empty if it is not unresolved
	 */
	OptionalLong ageMillis(TaskKey task, int attempt, long nowNanos) {
		Start start = this.starts.get(task);
		return (start != null && start.attempt() == attempt) ? OptionalLong.of(start.ageMillis(nowNanos))
				: OptionalLong.empty();
	}

	/**
	 * Returns whether an unanswered start is missing in the last record.
	 * @param nowNanos the current monotonic time
	 * @return {@code true} if the owner record should be written
	 */
	boolean needsRecording(long nowNanos) {
		for (Start start : this.starts.values()) {
			if (start.requestedNanos() - this.lastRecordedNanos > 0
					&& start.ageMillis(nowNanos) >= RECORDING_AGE_MILLIS) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the starts that the next owner has to know, the latest ones if there are
	 * too many for a row.
	 * @param nowNanos the current monotonic time
	 * @return the attempts by task
	 */
	Map<String, Integer> toRecord(long nowNanos) {
		this.lastRecordedNanos = nowNanos;
		if (this.starts.isEmpty()) {
			return Map.of();
		}
		return this.starts.entrySet()
			.stream()
			.sorted(Collections.reverseOrder(Comparator.comparingLong((entry) -> entry.getValue().requestedNanos())))
			.limit(MAX_RECORDED)
			.collect(Collectors.toMap((entry) -> entry.getKey().toString(), (entry) -> entry.getValue().attempt()));
	}

	/**
	 * Returns until when the starts may be executed that are not sent again, so that the
	 * next owner need not wait for the whole time.
	 * @param nowNanos the current monotonic time
	 * @return by task, the time until the request is taken to be lost, milliseconds
	 */
	Map<String, Long> expiriesToRecord(long nowNanos) {
		return this.starts.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().ageMillis(nowNanos) >= FINAL_AGE_MILLIS)
			.limit(MAX_RECORDED_EXPIRIES)
			.collect(Collectors.toMap((entry) -> entry.getKey().toString(),
					(entry) -> Math.max(0, MAX_EXECUTION_DELAY_MILLIS - entry.getValue().ageMillis(nowNanos))));
	}

	/**
	 * Adds the starts of an earlier owner.
	 * @param record the record of that owner
	 * @param knownNanos monotonic time from which on this process knew the record
	 * @param nowNanos monotonic time after which the earlier owner sends no start
	 * @return the starts that were added
	 */
	Map<TaskKey, Integer> restore(OwnerRecord record, long knownNanos, long nowNanos) {
		Map<TaskKey, Integer> restored = new HashMap<>();
		record.unresolvedStarts().forEach((name, attempt) -> {
			try {
				restored.put(TaskKey.parse(name), attempt);
			}
			catch (IllegalArgumentException ex) {
				LOGGER.log(System.Logger.Level.WARNING, "the owner record names no task in its starts: {0}", name);
			}
		});
		restored.forEach((task, attempt) -> {
			Long remainingMillis = record.startExpiries().get(task.toString());
			long requestedNanos = (remainingMillis != null)
					? knownNanos - TimeUnit.MILLISECONDS.toNanos(MAX_EXECUTION_DELAY_MILLIS - remainingMillis)
					: nowNanos;
			record(task, attempt, (requestedNanos - nowNanos < 0) ? requestedNanos : nowNanos);
		});
		return restored;
	}

	private record Start(int attempt, long requestedNanos) {

		long ageMillis(long nowNanos) {
			return TimeUnit.NANOSECONDS.toMillis(nowNanos - this.requestedNanos);
		}

	}

}
