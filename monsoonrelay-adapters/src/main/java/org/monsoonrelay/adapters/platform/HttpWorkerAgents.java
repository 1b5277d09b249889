package org.monsoonrelay.adapters.platform;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.rack.AttemptPhase;
import org.monsoonrelay.logic.rack.ReportedAttempt;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.logic.rack.WorkerAgents;
import org.monsoonrelay.logic.rack.WorkerCommand;
import org.monsoonrelay.logic.rack.WorkerReport;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.job.AttemptId;

/**
 * The workers over HTTP. Thread-safe.
 */
public final class HttpWorkerAgents implements WorkerAgents {

	private static final int MAXIMUM_CALLS = 64;

	private final HttpCalls calls;

	public HttpWorkerAgents(Duration timeout) {
		this.calls = new HttpCalls(timeout, MAXIMUM_CALLS);
	}

	@Override
	public CompletableFuture<WorkerReport> send(Host worker, WorkerCommand command) {
		return this.calls.post(worker.address().url() + "/command", CommandMessage.of(command))
			.thenApply((answer) -> Json.read(answer.body(), ReportMessage.class).report());
	}

	/**
	 * A command as workers read it.
	 *
	 * @param epoch epoch of the rack's ownership
	 * @param leaseMillis length of the lease in milliseconds
	 * @param incarnation the worker's incarnation that the starts are for
	 * @param starts attempts to start
	 * @param stops attempts to stop
	 * @param forget ended attempts to forget
	 */
	public record CommandMessage(long epoch, long leaseMillis, String incarnation, List<AttemptMessage> starts,
			List<String> stops, List<String> forget) {

		static CommandMessage of(WorkerCommand command) {
			return new CommandMessage(command.epoch(), command.leaseMillis(), command.incarnation(),
					command.starts().stream().map(AttemptMessage::of).toList(),
					command.stops().stream().map(AttemptId::toString).toList(),
					command.forget().stream().map(AttemptId::toString).toList());
		}

	}

	/**
	 * An attempt in a command or report.
	 *
	 * @param attempt the attempt
	 * @param team the team it counts against
	 * @param size what it holds
	 * @param runMillis declared run time in milliseconds, 0 if it has no end
	 * @param phase its phase in a report, otherwise {@code null}
	 */
	public record AttemptMessage(String attempt, String team, Resources size, long runMillis, AttemptPhase phase) {

		static AttemptMessage of(StartTask start) {
			return new AttemptMessage(start.attempt().toString(), start.team(), start.size(), start.runMillis(), null);
		}

		ReportedAttempt reported() {
			return new ReportedAttempt(AttemptId.parse(this.attempt), this.team, this.size, this.phase);
		}

	}

	/**
	 * A report as workers write it.
	 *
	 * @param incarnation identity of this start of the worker
	 * @param highestEpoch the highest epoch it has seen
	 * @param accepted whether the command's epoch was high enough
	 * @param attempts all attempts it knows
	 */
	public record ReportMessage(String incarnation, long highestEpoch, boolean accepted,
			List<AttemptMessage> attempts) {

		WorkerReport report() {
			return new WorkerReport(this.incarnation, this.highestEpoch, this.accepted,
					this.attempts.stream().map(AttemptMessage::reported).toList());
		}

	}

}
