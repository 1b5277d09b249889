package org.monsoonrelay.standin;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;

import org.monsoonrelay.model.job.AttemptId;

/**
 * Progress that checkpointed tasks have saved, for a later attempt on any worker.
 * Thread-safe; shared by the workers of one process.
 */
final class CheckpointStore {

	private final Map<String, Long> remainingMillis = new ConcurrentHashMap<>();

	void save(AttemptId attempt, long remaining) {
		this.remainingMillis.put(task(attempt), remaining);
	}

	/**
	 * Run time that is left to an attempt.
	 * @param attempt the attempt
	 * @return milliseconds, empty if no earlier attempt was checkpointed
	 */
	Optional<Long> remaining(AttemptId attempt) {
		return Optional.ofNullable(this.remainingMillis.get(task(attempt)));
	}

	private static String task(AttemptId attempt) {
		return attempt.job().toString() + '/' + attempt.task();
	}

}
