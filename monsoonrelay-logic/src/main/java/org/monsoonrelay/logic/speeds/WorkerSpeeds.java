package org.monsoonrelay.logic.speeds;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.pool.ObservedRun;
import org.monsoonrelay.logic.pool.RunObserver;
import org.monsoonrelay.logic.pool.RunningTask;
import org.monsoonrelay.logic.pool.TerminationReason;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Learns how fast workers are from the runs of an owner. Designed for pools whose workers
 * differ without saying so, with a few tasks in a hundred that take many times as long.
 * Runs that continue from a checkpoint, were started by an earlier owner or failed tell
 * nothing, nor do those of gangs, which are as fast as their slowest worker. Not
 * thread-safe: confined to the control thread.
 */
public final class WorkerSpeeds implements RunObserver {

	/** Interval between updates of the classes, milliseconds. */
	private static final long UPDATE_INTERVAL_MILLIS = 500;

	/** Multiple of the expected run time at which an active run is taken for slow. */
	private static final double OVERDUE = Math.log(3);

	/** Interval between checks whether an active run is overdue, milliseconds. */
	private static final long OVERDUE_CHECK_MILLIS = 200;

	/** Time after which a stalled worker without runs is given work, milliseconds. */
	private static final long PROBE_MILLIS = 3000;

	/** Time without runs after which a worker is forgotten, milliseconds. */
	private static final long RETENTION_MILLIS = 600_000;

	/** Share of the workers that are at most as slow as the slow ones. */
	private static final double SLOW_SHARE = 0.9;

	private final DecisionLog log;

	private final Map<String, WorkerSpeed> workers = new HashMap<>();

	private final Map<String, QueueRunTimes> queues = new HashMap<>();

	private final Map<StepKey, StepRunTimes> steps = new HashMap<>();

	private final Map<TaskKey, ActiveRun> runs = new HashMap<>();

	private Map<SpeedClass, Integer> counts = Map.of();

	private double slowDeviation;

	private double fastDeviation;

	private boolean uneven;

	private long updatedNanos;

	/**
	 * Creates an observer that has learned nothing.
	 * @param log receives the workers' classes
	 * @param nowNanos the current monotonic time
	 */
	public WorkerSpeeds(DecisionLog log, long nowNanos) {
		this.log = log;
		this.updatedNanos = nowNanos;
	}

	@Override
	public void runStarted(ObservedRun run, long nowNanos) {
		StepSpec step = run.step();
		boolean isTelling = !run.resumed() && !run.adopted() && !step.gang() && !step.longRunning() && !step.filling();
		if (!isTelling || step.estimateMillis() <= 0) {
			return;
		}
		WorkerSpeed worker = this.workers.computeIfAbsent(run.worker(), (id) -> new WorkerSpeed(id, nowNanos));
		StepRunTimes times = this.steps.computeIfAbsent(run.task().stepKey(), (key) -> new StepRunTimes());
		QueueRunTimes queue = this.queues.computeIfAbsent(run.queue(), (name) -> new QueueRunTimes());
		ActiveRun former = this.runs.put(run.task(),
				new ActiveRun(run.attempt(), worker, times, queue, step, nowNanos));
		if (former != null) {
			former.worker.runEnded();
			times.runEnded();
		}
		worker.runStarted();
		times.runStarted();
	}

	@Override
	public void runReported(ObservedRun run, RunningTask report, long nowNanos) {
		updateIfDue(nowNanos);
		ActiveRun active = this.runs.get(run.task());
		if (active == null || active.attempt != run.attempt() || active.judged || nowNanos - active.checkNanos < 0) {
			return;
		}
		active.checkNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(OVERDUE_CHECK_MILLIS);
		OptionalDouble expected = active.expected();
		double ratio = active.logRatio(TimeUnit.NANOSECONDS.toMillis(nowNanos - active.startNanos));
		if (expected.isPresent() && ratio > expected.getAsDouble() + active.worker.deviation() + OVERDUE) {
			active.judged = true;
			active.worker.add(ratio - expected.getAsDouble(), nowNanos);
			updateIfDue(nowNanos);
		}
	}

	@Override
	public void runEnded(ObservedRun run, TerminationReason reason, long ranMillis, long nowNanos) {
		ActiveRun active = this.runs.get(run.task());
		if (active == null || active.attempt != run.attempt()) {
			return;
		}
		this.runs.remove(run.task());
		active.worker.runEnded();
		boolean isLast = active.step.runEnded();
		if (reason == TerminationReason.DONE && ranMillis >= 0) {
			learn(active, active.logRatio(ranMillis), nowNanos);
		}
		if (isLast) {
			this.steps.remove(run.task().stepKey());
		}
		updateIfDue(nowNanos);
	}

	private static void learn(ActiveRun run, double ratio, long nowNanos) {
		double onAnyWorker = ratio - run.worker.deviation();
		OptionalDouble expected = run.expectedAtEnd();
		if (!run.judged && expected.isPresent()) {
			run.worker.add(ratio - expected.getAsDouble(), nowNanos);
		}
		else if (!run.judged) {
			run.step.addUnjudged(run.worker, ratio);
		}
		run.step.add(onAnyWorker);
		run.step.judge(nowNanos);
		run.queue.add(onAnyWorker);
	}

	@Override
	public void workerReset(String worker) {
		this.workers.remove(worker);
	}

	private void updateIfDue(long nowNanos) {
		if (nowNanos - this.updatedNanos < TimeUnit.MILLISECONDS.toNanos(UPDATE_INTERVAL_MILLIS)) {
			return;
		}
		this.updatedNanos = nowNanos;
		long retainedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(RETENTION_MILLIS);
		this.workers.values().removeIf((worker) -> worker.isIdleSince(retainedNanos));
		double[] deviations = this.workers.values()
			.stream()
			.filter(WorkerSpeed::isKnown)
			.mapToDouble(WorkerSpeed::deviation)
			.sorted()
			.toArray();
		double median = (deviations.length > 0) ? deviations[deviations.length / 2] : 0;
		Map<SpeedClass, Integer> next = new EnumMap<>(SpeedClass.class);
		for (WorkerSpeed worker : this.workers.values()) {
			updateClass(worker, median);
			next.merge(worker.speedClass(), 1, Integer::sum);
		}
		this.uneven = next.getOrDefault(SpeedClass.USUAL, 0) < this.workers.size();
		updateRange();
		if (!next.equals(this.counts)) {
			this.counts = next;
			this.log.write(new PoolDecision.SpeedsLearnt(count(SpeedClass.FAST), count(SpeedClass.USUAL),
					count(SpeedClass.SLOW), count(SpeedClass.STALLED)));
		}
	}

	private void updateClass(WorkerSpeed worker, double median) {
		SpeedClass former = worker.speedClass();
		if (worker.updateClass(median) && (former == SpeedClass.STALLED || worker.speedClass() == SpeedClass.STALLED)) {
			this.log.write(new PoolDecision.WorkerSpeedChanged(worker.id(), worker.speedClass().name(),
					Math.round(100 * Math.exp(worker.deviation() - median))));
		}
	}

	private void updateRange() {
		double[] moving = this.workers.values()
			.stream()
			.filter((worker) -> worker.isKnown() && worker.speedClass() != SpeedClass.STALLED)
			.mapToDouble(WorkerSpeed::deviation)
			.toArray();
		Arrays.sort(moving);
		this.slowDeviation = (moving.length > 0) ? moving[(int) (SLOW_SHARE * (moving.length - 1))] : 0;
		this.fastDeviation = (moving.length > 0) ? moving[(int) ((1 - SLOW_SHARE) * (moving.length - 1))] : 0;
	}

	private int count(SpeedClass speed) {
		return this.counts.getOrDefault(speed, 0);
	}

	/**
	 * Returns whether any worker is known to differ from the others.
	 * @return {@code false} if all count as equal
	 */
	boolean areUneven() {
		return this.uneven;
	}

	/**
	 * Returns the class of a worker.
	 * @param worker id of the worker
	 * @return the class, {@link SpeedClass#USUAL} if it is not known
	 */
	SpeedClass speedClass(String worker) {
		WorkerSpeed speed = this.workers.get(worker);
		return (speed != null) ? speed.speedClass() : SpeedClass.USUAL;
	}

	/**
	 * Returns whether a stalled worker should be given work with slack, to learn whether
	 * it still is.
	 * @param worker id of the worker
	 * @param nowNanos the current monotonic time
	 * @return {@code true} if nothing runs there and nothing was learned for a while
	 */
	boolean isProbeDue(String worker, long nowNanos) {
		WorkerSpeed speed = this.workers.get(worker);
		return speed != null && speed.isIdleSince(nowNanos - TimeUnit.MILLISECONDS.toNanos(PROBE_MILLIS));
	}

	/**
	 * Returns how long the last task of a step takes on slow workers.
	 * @param queue the queue
	 * @param tasks number of tasks of the step
	 * @param declaredMillis the declared run time, milliseconds
	 * @return the likely run time, milliseconds
	 */
	double slowMillis(String queue, int tasks, long declaredMillis) {
		QueueRunTimes times = this.queues.get(queue);
		// Half of all steps have a task beyond this quantile.
		double longest = (times != null) ? times.quantile(Math.pow(0.5, 1.0 / tasks)) : 0;
		return declaredMillis * Math.exp(longest + this.slowDeviation);
	}

	/**
	 * Returns how long a task of a queue takes on fast workers.
	 * @param queue the queue
	 * @param declaredMillis the declared run time, milliseconds
	 * @return the likely run time, milliseconds
	 */
	double fastMillis(String queue, long declaredMillis) {
		return declaredMillis * Math.exp(median(queue) + this.fastDeviation);
	}

	private double median(String queue) {
		QueueRunTimes times = this.queues.get(queue);
		return (times != null) ? times.median() : 0;
	}

	/**
	 * An active run. Mutable: whether its worker was judged by it, and when it is checked
	 * next.
	 */
	private static final class ActiveRun {

		private final int attempt;

		private final WorkerSpeed worker;

		private final StepRunTimes step;

		private final QueueRunTimes queue;

		private final int tasks;

		private final long declaredMillis;

		private final long startNanos;

		private long checkNanos;

		private boolean judged;

		ActiveRun(int attempt, WorkerSpeed worker, StepRunTimes step, QueueRunTimes queue, StepSpec spec,
				long startNanos) {
			this.attempt = attempt;
			this.worker = worker;
			this.step = step;
			this.queue = queue;
			this.tasks = spec.count();
			this.declaredMillis = spec.estimateMillis();
			this.startNanos = startNanos;
			this.checkNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(this.declaredMillis);
		}

		double logRatio(long millis) {
			return Math.log(Math.max(1, millis) / (double) this.declaredMillis);
		}

		OptionalDouble expected() {
			OptionalDouble ofStep = this.step.expected();
			return ofStep.isPresent() ? ofStep : this.queue.expected();
		}

		// The declared time of a wide step may be off for all of its tasks, many of
		// which may run on one worker.
		OptionalDouble expectedAtEnd() {
			return (this.tasks > StepRunTimes.MIN_PEERS) ? this.step.expected() : expected();
		}

	}

}
