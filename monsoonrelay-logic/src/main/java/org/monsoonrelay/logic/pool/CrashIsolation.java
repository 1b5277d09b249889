package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

import org.monsoonrelay.model.submission.CrashSuspicion;

/**
 * Keeps tasks that are suspected to crash their workers apart, so that a further crash
 * tells which of them is the cause. Invariants: no worker runs suspected tasks of two
 * jobs; of all workers, only a small share runs isolated tasks, and a job has one such
 * task at a time unless they form a gang. A suspected task goes to a worker with few
 * other runs. Stateless except for the pool.
 */
final class CrashIsolation implements WorkerSelector {

	/** Share of the workers that may run isolated tasks; at least one worker may. */
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
		if (suspicion == CrashSuspicion.NONE) {
			return this.selector.select(step, index, candidates, demand);
		}
		if (suspicion == CrashSuspicion.ISOLATED && isLimitReached(step)) {
			return Optional.empty();
		}
		String job = step.key().job();
		List<PoolWorker> separate = candidates.stream().filter((worker) -> runsNoOtherSuspect(worker, job)).toList();
		int fewest = separate.stream().mapToInt(PoolWorker::runCount).min().orElse(0);
		List<PoolWorker> least = separate.stream().filter((worker) -> worker.runCount() == fewest).toList();
		return this.selector.select(step, index, least, demand);
	}

	private static boolean runsNoOtherSuspect(PoolWorker worker, String job) {
		return worker.suspectedRuns().stream().allMatch((run) -> run.task().job().equals(job));
	}

	private boolean isLimitReached(ActiveStep step) {
		Collection<PoolWorker> workers = this.pool.workers();
		String job = step.key().job();
		long isolating = workers.stream().filter(CrashIsolation::runsIsolatedTask).count();
		if (isolating >= Math.max(1, MAX_ISOLATED_SHARE * workers.size())) {
			return true;
		}
		return !step.spec().gang() && workers.stream()
			.flatMap((worker) -> worker.suspectedRuns().stream())
			.anyMatch((run) -> run.suspicion() == CrashSuspicion.ISOLATED && run.task().job().equals(job));
	}

	private static boolean runsIsolatedTask(PoolWorker worker) {
		return worker.suspectedRuns().stream().anyMatch((run) -> run.suspicion() == CrashSuspicion.ISOLATED);
	}

}
