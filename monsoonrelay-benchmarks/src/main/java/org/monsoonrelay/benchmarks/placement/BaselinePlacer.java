package org.monsoonrelay.benchmarks.placement;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.monsoonrelay.logic.placement.PlacementPolicy;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.Worker;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * One scheduler that sees every worker as it is: the baselines have no old summaries and
 * send no messages. Not thread-safe.
 */
final class BaselinePlacer implements DayPlacer {

	private final BenchmarkCell cell;

	private final PlacementPolicy policy;

	private long attempts;

	BaselinePlacer(BenchmarkCell cell, PlacementPolicy policy) {
		this.cell = cell;
		this.policy = policy;
	}

	@Override
	public void beginRound(long nowMillis) {
		// sees the workers themselves
	}

	@Override
	public Map<AttemptId, Worker> place(DayJob job, int waiting) {
		Map<AttemptId, Worker> placed = new LinkedHashMap<>();
		for (int task = 0; task < waiting; task++) {
			this.attempts++;
			AttemptId attempt = new AttemptId(job.id(), task, this.attempts);
			Optional<Worker> worker = this.policy.choose(job.id(), job.size(), this.cell.workers());
			if (worker.isEmpty()) {
				break;
			}
			worker.get().reserve(attempt, job.size(), Instant.MAX);
			worker.get().grant(attempt);
			placed.put(attempt, worker.get());
		}
		if (job.kind() == WorkloadKind.GANG && placed.size() < job.tasks()) {
			placed.forEach((attempt, worker) -> worker.release(attempt));
			return Map.of();
		}
		return placed;
	}

	@Override
	public long messages() {
		return 0;
	}

	@Override
	public long refusals() {
		return 0;
	}

}
