package org.monsoonrelay.benchmarks.capacity;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.rack.AttemptPhase;
import org.monsoonrelay.logic.rack.ReportedAttempt;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.logic.rack.WorkerAgents;
import org.monsoonrelay.logic.rack.WorkerCommand;
import org.monsoonrelay.logic.rack.WorkerReport;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.job.AttemptId;

/**
 * Workers that answer at once and in this thread: they start what they are told to and
 * report it. Not thread-safe.
 */
final class SampleWorkers implements WorkerAgents {

	private final Map<String, Map<AttemptId, ReportedAttempt>> attempts = new HashMap<>();

	private long calls;

	@Override
	public CompletableFuture<WorkerReport> send(Host worker, WorkerCommand command) {
		this.calls++;
		Map<AttemptId, ReportedAttempt> own = this.attempts.computeIfAbsent(worker.name(),
				(name) -> new LinkedHashMap<>());
		command.forget().forEach(own::remove);
		for (StartTask start : command.starts()) {
			own.put(start.attempt(),
					new ReportedAttempt(start.attempt(), start.team(), start.size(), AttemptPhase.RUNNING));
		}
		return CompletableFuture
			.completedFuture(new WorkerReport(worker.incarnation(), command.epoch(), true, List.copyOf(own.values())));
	}

	/**
	 * End well all that runs.
	 */
	void finishAll() {
		this.attempts.values()
			.forEach((own) -> own.replaceAll((id, attempt) -> new ReportedAttempt(attempt.attempt(), attempt.team(),
					attempt.size(), AttemptPhase.FINISHED)));
	}

	/**
	 * Drop all state, so that it does not count as the scheduler's.
	 */
	void clear() {
		this.attempts.clear();
	}

	long calls() {
		return this.calls;
	}

}
