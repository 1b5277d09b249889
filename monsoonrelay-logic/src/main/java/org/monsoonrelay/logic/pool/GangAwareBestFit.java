package org.monsoonrelay.logic.pool;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.monsoonrelay.model.capacity.Resources;

/**
 * Best fit that first spares the workers which waiting gangs may use: of workers wanted
 * by equally few gangs the fullest one that still has room. Keeps room for gangs
 * together, which answers loads near the capacity of the pool. A worker on which the task
 * failed last comes last, data nearby comes first. Stateless.
 */
final class GangAwareBestFit implements WorkerSelector {

	@Override
	public Optional<PoolWorker> select(ActiveStep step, int index, List<PoolWorker> candidates, GangDemand demand) {
		String failedOn = step.lastFailedWorker(index);
		String rack = step.spec().dataRack();
		Resources size = step.spec().committedSize();
		return candidates.stream()
			.min(Comparator.<PoolWorker, Boolean>comparing((worker) -> worker.id().equals(failedOn))
				.thenComparing((worker) -> !rack.isEmpty() && !rack.equals(worker.info().rack()))
				.thenComparingInt((worker) -> demand.gangCount(worker.id()))
				.thenComparingDouble((worker) -> leftShare(worker, size))
				.thenComparing(PoolWorker::id));
	}

	private static double leftShare(PoolWorker worker, Resources size) {
		return worker.free().minus(size).largestShareOf(worker.info().capacity());
	}

}
