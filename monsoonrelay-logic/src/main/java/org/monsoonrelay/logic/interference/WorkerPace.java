package org.monsoonrelay.logic.interference;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleBiFunction;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.pool.ObservedRun;
import org.monsoonrelay.logic.pool.RunningTask;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Decides on the speed of the filling runs of one worker. The likely cause is slowed
 * first, and all of them early enough that the last one is halted before the missed
 * target does harm. Times are shares of the time until harm. Not thread-safe: confined to
 * the control thread.
 */
final class WorkerPace {

	/** Part of the time until harm after which, and between which, runs are slowed. */
	private static final int STEP_PART = 8;

	/** Number of steps after which all filling runs are slowed. */
	private static final int STEPS_UNTIL_ALL = 3;

	/**
	 * Part of the time until harm that halted runs get to show that they are no cause.
	 */
	private static final int TRIAL_PART = 4;

	/** Multiple of the time until harm for which no run is slowed after that. */
	private static final int ACQUITTAL_FACTOR = 4;

	/** Number of times that the wait for the next step up is doubled at most. */
	private static final int MAX_DOUBLINGS = 4;

	private static final int FULL_SPEED_PERCENT = 100;

	private final PaceRequests requests;

	private final ToDoubleBiFunction<StepSpec, StepSpec> suspicion;

	private final DecisionLog log;

	private final InterferenceSettings settings;

	private final long harmNanos;

	private final Map<TaskKey, ServingRun> serving = new LinkedHashMap<>();

	private final Map<TaskKey, FillingRun> filling = new LinkedHashMap<>();

	private long loweredNanos;

	private long raisedNanos;

	private long roomSinceNanos;

	private long acquittedNanos;

	private boolean lowered;

	private boolean raised;

	private boolean hasRoom;

	private boolean acquitted;

	private int doublings;

	WorkerPace(InterferenceSettings settings, PaceRequests requests, ToDoubleBiFunction<StepSpec, StepSpec> suspicion,
			DecisionLog log) {
		this.settings = settings;
		this.harmNanos = TimeUnit.MILLISECONDS.toNanos(settings.harmMillis());
		this.requests = requests;
		this.suspicion = suspicion;
		this.log = log;
	}

	void reported(ObservedRun run, RunningTask report, long nowNanos) {
		if (run.step().targetMillis() > 0) {
			this.serving.compute(run.task(), (task, known) -> isSame(known, run) ? known : new ServingRun(run))
				.reported(report, this.harmNanos, nowNanos);
			decide(nowNanos);
			return;
		}
		FillingRun known = this.filling.get(run.task());
		if (known == null || known.run().attempt() != run.attempt()) {
			known = new FillingRun(run, report.speedPercent());
			this.filling.put(run.task(), known);
		}
		known.reported(report, this.settings, this.requests, nowNanos);
		if (this.serving.isEmpty()) {
			decide(nowNanos);
		}
	}

	private static boolean isSame(ServingRun known, ObservedRun run) {
		return known != null && known.run().attempt() == run.attempt();
	}

	void ended(ObservedRun run, long nowNanos) {
		this.filling.computeIfPresent(run.task(),
				(task, known) -> (known.run().attempt() == run.attempt()) ? null : known);
		if (this.serving.computeIfPresent(run.task(), (task, known) -> isSame(known, run) ? null : known) == null) {
			decide(nowNanos);
		}
	}

	private void decide(long nowNanos) {
		if (this.serving.isEmpty()) {
			letAllGo("no task there serves users", nowNanos);
			return;
		}
		Optional<ServingRun> missing = this.serving.values()
			.stream()
			.filter(ServingRun::isMissing)
			.min(Comparator.comparingLong((run) -> run.missedSinceNanos() - nowNanos));
		if (missing.isPresent()) {
			this.hasRoom = false;
			handleMissedTarget(missing.get(), nowNanos);
		}
		else if (this.serving.values().stream().allMatch(ServingRun::hasRoom)) {
			handleRoom(nowNanos);
		}
		else {
			this.hasRoom = false;
		}
	}

	private void handleMissedTarget(ServingRun victim, long nowNanos) {
		long step = this.harmNanos / STEP_PART;
		long missedNanos = nowNanos - victim.missedSinceNanos();
		boolean isAcquitted = this.acquitted && nowNanos - this.acquittedNanos < ACQUITTAL_FACTOR * this.harmNanos;
		if (isAcquitted || missedNanos < step || (this.lowered && nowNanos - this.loweredNanos < step)) {
			return;
		}
		List<FillingRun> suspects = this.filling.values().stream().filter((run) -> !run.isHalted()).toList();
		if (suspects.isEmpty()) {
			acquitIfTried(nowNanos);
			return;
		}
		if (this.raised && nowNanos - this.raisedNanos < this.harmNanos) {
			this.doublings = Math.min(MAX_DOUBLINGS, this.doublings + 1);
			this.raised = false;
		}
		this.lowered = true;
		this.loweredNanos = nowNanos;
		Comparator<FillingRun> byCause = Comparator
			.comparingDouble((run) -> this.suspicion.applyAsDouble(victim.run().step(), run.run().step()));
		List<FillingRun> slowed = (missedNanos >= STEPS_UNTIL_ALL * step) ? suspects
				: suspects.stream().max(byCause.thenComparingLong(FillingRun::usage)).stream().toList();
		slowed.forEach((run) -> change(run, run.nextLower(), "a target is missed", Optional.of(victim), nowNanos));
	}

	private void acquitIfTried(long nowNanos) {
		if (!this.filling.isEmpty() && nowNanos - this.loweredNanos >= this.harmNanos / TRIAL_PART) {
			this.acquitted = true;
			this.acquittedNanos = nowNanos;
			letAllGo("the target is missed without them as well", nowNanos);
		}
	}

	private void handleRoom(long nowNanos) {
		if (!this.hasRoom) {
			this.hasRoom = true;
			this.roomSinceNanos = nowNanos;
		}
		long wait = (this.harmNanos / TRIAL_PART) << this.doublings;
		boolean isEarly = nowNanos - this.roomSinceNanos < wait
				|| (this.raised && nowNanos - this.raisedNanos < this.harmNanos / TRIAL_PART);
		if (isEarly) {
			return;
		}
		Optional<FillingRun> next = this.filling.values()
			.stream()
			.filter(FillingRun::isSlowed)
			.min(Comparator.comparingInt(FillingRun::wantedPercent));
		next.ifPresent((run) -> {
			this.raised = true;
			this.raisedNanos = nowNanos;
			change(run, run.nextHigher(), "all targets are met", Optional.empty(), nowNanos);
		});
		if (next.isEmpty() && nowNanos - this.roomSinceNanos >= wait + this.harmNanos) {
			this.doublings = 0;
		}
	}

	private void letAllGo(String reason, long nowNanos) {
		this.filling.values()
			.stream()
			.filter(FillingRun::isSlowed)
			.forEach((run) -> change(run, FULL_SPEED_PERCENT, reason, Optional.empty(), nowNanos));
	}

	private void change(FillingRun filler, int percent, String reason, Optional<ServingRun> victim, long nowNanos) {
		ObservedRun run = filler.run();
		this.log.write(new JobDecision.TaskPaced(run.task().job(), run.task().toString(), run.attempt(), run.worker(),
				percent, filler.wantedPercent(), reason,
				victim.map((serving) -> serving.run().task().toString()).orElse(""),
				victim.map(ServingRun::tailMillis).orElse(-1L),
				victim.map((serving) -> serving.run().step().targetMillis()).orElse(0L)));
		filler.want(percent, this.requests, nowNanos);
	}

	int wantedPercent(ObservedRun run) {
		FillingRun known = this.filling.get(run.task());
		return (known != null) ? known.wantedPercent() : FULL_SPEED_PERCENT;
	}

	boolean isAlert() {
		return !this.filling.isEmpty() && (this.filling.values().stream().anyMatch(FillingRun::isSlowed)
				|| this.serving.values().stream().anyMatch(ServingRun::isMissing));
	}

	boolean isEmpty() {
		return this.serving.isEmpty() && this.filling.isEmpty();
	}

}
