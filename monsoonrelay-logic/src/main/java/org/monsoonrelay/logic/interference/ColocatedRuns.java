package org.monsoonrelay.logic.interference;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.monsoonrelay.logic.pool.ObservedRun;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Which runs are active beside each other, and for how long. Not thread-safe: confined to
 * the control thread.
 */
final class ColocatedRuns {

	/** Share of a run during which an image must be beside it to count as a neighbour. */
	private static final double MIN_OVERLAP_SHARE = 0.5;

	private final Map<String, Map<TaskKey, ActiveRun>> workers = new HashMap<>();

	private final Map<String, Map<String, Integer>> images = new HashMap<>();

	void start(ObservedRun run, String image, long nowNanos) {
		Map<TaskKey, ActiveRun> runs = this.workers.computeIfAbsent(run.worker(), (key) -> new LinkedHashMap<>());
		ActiveRun known = runs.get(run.task());
		if (known != null && known.run.attempt() == run.attempt()) {
			return;
		}
		if (known != null) {
			end(known.run, nowNanos);
		}
		this.workers.computeIfAbsent(run.worker(), (key) -> runs).put(run.task(), new ActiveRun(run, image, nowNanos));
		this.images.computeIfAbsent(run.worker(), (key) -> new HashMap<>()).merge(image, 1, Integer::sum);
	}

	/**
	 * Records the end of a run.
	 * @param run the run
	 * @param nowNanos the current monotonic time
	 * @return the images that were beside it, empty if its start was not observed
	 */
	Optional<Set<String>> end(ObservedRun run, long nowNanos) {
		Map<TaskKey, ActiveRun> runs = this.workers.getOrDefault(run.worker(), Map.of());
		ActiveRun ended = runs.get(run.task());
		if (ended == null || ended.run.attempt() != run.attempt()) {
			return Optional.empty();
		}
		runs.remove(run.task());
		for (ActiveRun other : runs.values()) {
			long overlap = nowNanos - Math.max(other.startNanos, ended.startNanos);
			other.overlapNanos.merge(ended.image, overlap, Math::max);
			ended.overlapNanos.merge(other.image, overlap, Math::max);
		}
		this.images.get(run.worker()).merge(ended.image, -1, (count, one) -> (count > 1) ? count + one : null);
		if (runs.isEmpty()) {
			reset(run.worker());
		}
		long duration = nowNanos - ended.startNanos;
		Set<String> neighbours = new HashSet<>();
		ended.overlapNanos.forEach((image, overlap) -> {
			if (!image.isEmpty() && overlap >= MIN_OVERLAP_SHARE * duration) {
				neighbours.add(image);
			}
		});
		return Optional.of(neighbours);
	}

	void reset(String worker) {
		this.workers.remove(worker);
		this.images.remove(worker);
	}

	/**
	 * Returns the numbers of runs that are active on a worker.
	 * @param worker the worker's id
	 * @return the numbers by image
	 */
	Map<String, Integer> images(String worker) {
		return this.images.getOrDefault(worker, Map.of());
	}

	Collection<ActiveRun> runs(String worker) {
		return this.workers.getOrDefault(worker, Map.of()).values();
	}

	/** A run and how long which images were beside it. */
	static final class ActiveRun {

		private final ObservedRun run;

		private final String image;

		private final long startNanos;

		private final Map<String, Long> overlapNanos = new HashMap<>();

		ActiveRun(ObservedRun run, String image, long startNanos) {
			this.run = run;
			this.image = image;
			this.startNanos = startNanos;
		}

		ObservedRun run() {
			return this.run;
		}

		String image() {
			return this.image;
		}

	}

}
