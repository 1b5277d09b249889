package org.monsoonrelay.logic.interference;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleBiFunction;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.pool.ObservedRun;
import org.monsoonrelay.logic.pool.RunningTask;
import org.monsoonrelay.model.submission.StepSpec;

/**
 * Slows the filling tasks beside a task that misses its latency target, and lets them go
 * again. Stops nothing. Not thread-safe: confined to the control thread.
 */
final class PaceController {

	private static final int FULL_SPEED_PERCENT = 100;

	private final InterferenceSettings settings;

	private final PaceRequests requests;

	private final ToDoubleBiFunction<StepSpec, StepSpec> suspicion;

	private final DecisionLog log;

	private final Map<String, WorkerPace> workers = new HashMap<>();

	/**
	 * Creates a controller.
	 * @param settings the bounds
	 * @param requests sends requests to workers
	 * @param suspicion by how much a serving step is believed to be slowed by a filling
	 * one
	 * @param log receives decisions
	 */
	PaceController(InterferenceSettings settings, PaceRequests requests,
			ToDoubleBiFunction<StepSpec, StepSpec> suspicion, DecisionLog log) {
		this.settings = settings;
		this.requests = requests;
		this.suspicion = suspicion;
		this.log = log;
	}

	private static boolean concerns(StepSpec step) {
		return step.filling() || step.targetMillis() > 0;
	}

	void reported(ObservedRun run, RunningTask report, long nowNanos) {
		if (concerns(run.step())) {
			this.workers
				.computeIfAbsent(run.worker(),
						(key) -> new WorkerPace(this.settings, this.requests, this.suspicion, this.log))
				.reported(run, report, nowNanos);
		}
	}

	void ended(ObservedRun run, long nowNanos) {
		WorkerPace worker = this.workers.get(run.worker());
		if (worker != null && concerns(run.step())) {
			worker.ended(run, nowNanos);
			if (worker.isEmpty()) {
				this.workers.remove(run.worker());
			}
		}
	}

	void reset(String worker) {
		this.workers.remove(worker);
	}

	int wantedPercent(ObservedRun run) {
		WorkerPace worker = this.workers.get(run.worker());
		return (worker != null) ? worker.wantedPercent(run) : FULL_SPEED_PERCENT;
	}

	/**
	 * Returns whether a decision on a worker is due soon.
	 * @param worker the worker's id
	 * @return {@code true} if its reports are needed more often
	 */
	boolean isAlert(String worker) {
		WorkerPace pace = this.workers.get(worker);
		return pace != null && pace.isAlert();
	}

}
