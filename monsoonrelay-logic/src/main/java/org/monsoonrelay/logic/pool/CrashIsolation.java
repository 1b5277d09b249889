package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import org.monsoonrelay.model.submission.CrashSuspicion;

/**
 * Keeps tasks that are suspected to crash their workers apart, so that a further crash
 * tells which of them is the cause. Invariants: no suspected task starts on a worker
 * where one of another job is on probation; of all workers, only a small share has
 * isolated tasks on probation, and a job has one such task at a time, and one more for
 * each that has passed its probation, unless they form a gang. After its probation, a run
 * keeps no task waiting; others only prefer workers without it. A suspected task goes to
 * a worker with few other runs. Stateless except for the pool.
 */
final class CrashIsolation implements WorkerSelector {

	/**
	 * Share of the workers that may have isolated tasks on probation; at least one may.
	 */
	private static final double MAX_ISOLATED_SHARE = 0.125;

	private final WorkerSelector selector;

	private final WorkerPool pool;

	/**
	 * Creates the rule.
	 * @param selector selects among the workers that are allowed
	 * @param pool the workers
	 */
	CrashIsolation(WorkerSelector selector, WorkerPool pool) {
		this.selector = selector;
		this.pool = pool;
	}

	@Override
	public Optional<PoolWorker> select(ActiveStep step, int index, List<PoolWorker> candidates, GangDemand demand) {
		CrashSuspicion suspicion = step.suspicion(index);
		String job = step.key().job();
		if (suspicion == CrashSuspicion.NONE) {
			// Another crash may give up an isolated task that is innocent.
			List<PoolWorker> preferred = preferWithout(candidates,
					(worker) -> worker.suspectedRuns().hasIsolatedOfAnother(job));
			return this.selector.select(step, index, preferred, demand);
		}
		if (suspicion == CrashSuspicion.ISOLATED && isLimitReached(step)) {
			return Optional.empty();
		}
		List<PoolWorker> separate = candidates.stream()
			.filter((worker) -> !worker.suspectedRuns().hasAnyOnProbationOfAnother(job))
			.toList();
		List<PoolWorker> preferred = preferWithout(separate, (worker) -> worker.suspectedRuns().hasAnyOfAnother(job));
		int fewest = preferred.stream().mapToInt(PoolWorker::runCount).min().orElse(0);
		List<PoolWorker> least = preferred.stream().filter((worker) -> worker.runCount() == fewest).toList();
		return this.selector.select(step, index, least, demand);
	}

	@Override
	public List<List<PoolWorker>> alike(ActiveStep step, List<PoolWorker> candidates) {
		return this.selector.alike(step, candidates);
	}

	private static List<PoolWorker> preferWithout(List<PoolWorker> candidates, Predicate<PoolWorker> avoided) {
		if (candidates.stream().noneMatch(avoided)) {
			return candidates;
		}
		List<PoolWorker> others = candidates.stream().filter(avoided.negate()).toList();
		return others.isEmpty() ? candidates : others;
	}

	private boolean isLimitReached(ActiveStep step) {
		Collection<PoolWorker> workers = this.pool.workers();
		long isolating = workers.stream().filter((worker) -> worker.suspectedRuns().hasIsolatedOnProbation()).count();
		if (isolating >= Math.max(1, MAX_ISOLATED_SHARE * workers.size())) {
			return true;
		}
		return !step.spec().gang() && countIsolated(step, true) > countIsolated(step, false);
	}

	private int countIsolated(ActiveStep step, boolean isOnProbation) {
		String job = step.key().job();
		return this.pool.workers()
			.stream()
			.mapToInt((worker) -> worker.suspectedRuns().countIsolatedOf(job, isOnProbation))
			.sum();
	}

}
