package org.monsoonrelay.logic.pool;

import java.util.concurrent.ScheduledExecutorService;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.interference.PaceRequests;
import org.monsoonrelay.logic.platform.ExecutorCallback;

/**
 * Sends changes of speed to the workers of the pool. A request that is not answered is
 * not repeated here: whether it was carried out is known from the next report. Not
 * thread-safe: confined to the control thread.
 */
final class RunPacer implements PaceRequests {

	private final WorkerClient workerClient;

	private final OwnerLease ownerLease;

	private final WorkerPool pool;

	private final ScheduledExecutorService control;

	private final DecisionLog log;

	private final RunListener listener;

	RunPacer(PoolDependencies dependencies, OwnerLease ownerLease, WorkerPool pool, RunListener listener) {
		this.workerClient = dependencies.workerClient();
		this.control = dependencies.control();
		this.log = dependencies.log();
		this.ownerLease = ownerLease;
		this.pool = pool;
		this.listener = listener;
	}

	@Override
	public void pace(ObservedRun run, int percent) {
		this.pool.worker(run.worker()).ifPresent((worker) -> {
			Addressee addressee = Addressee.of(worker);
			long token = this.ownerLease.fencingToken(worker.incarnation().tokenGeneration());
			this.workerClient.pace(worker.info(), run.task(), run.attempt(), percent, token)
				.whenComplete(ExecutorCallback.on(this.control,
						(outcome, failure) -> handleOutcome(addressee, run, percent, outcome)));
		});
	}

	private void handleOutcome(Addressee addressee, ObservedRun run, int percent, RunRequestOutcome outcome) {
		if (outcome.kind() == RunRequestOutcome.Kind.DONE) {
			return;
		}
		this.log.write(new JobDecision.PaceFailed(run.task().job(), run.task().toString(), run.attempt(), run.worker(),
				percent, outcome.kind().name()));
		boolean isCurrent = addressee.isCurrent(addressee.worker()) && addressee.hasCurrentToken();
		if (outcome.kind() == RunRequestOutcome.Kind.FENCED && isCurrent) {
			this.listener.workerFenced(run.worker());
		}
	}

}
