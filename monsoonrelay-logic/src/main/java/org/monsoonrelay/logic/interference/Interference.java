package org.monsoonrelay.logic.interference;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.pool.ObservedRun;
import org.monsoonrelay.logic.pool.RunObserver;
import org.monsoonrelay.logic.pool.RunningTask;
import org.monsoonrelay.logic.pool.TerminationReason;
import org.monsoonrelay.logic.pool.WorkerPreference;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Learns which tasks slow each other down, prefers workers where they do not, and slows
 * filling tasks for those that serve users. Has no effect on steps without an image,
 * unless the settings ask for it, and none before enough was observed. Not thread-safe:
 * confined to the control thread.
 */
public final class Interference implements RunObserver, WorkerPreference {

	/** Time that a reported tail latency covers, nanoseconds. */
	private static final long REPORT_WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** Largest factor that one observation is counted with; some tasks are just long. */
	private static final double MAX_RATIO = Math.log(4);

	/** Speed below which a filling task hardly disturbs others, percent. */
	private static final int MIN_DISTURBING_PERCENT = 50;

	private static final int FULL_SPEED_PERCENT = 100;

	private final InterferenceSettings settings;

	private final InterferenceModel model;

	private final ColocatedRuns colocated = new ColocatedRuns();

	private final PaceController pacing;

	private final Map<TaskKey, Long> observedNanos = new HashMap<>();

	public Interference(InterferenceSettings settings, PaceRequests requests, DecisionLog log) {
		this.settings = settings;
		this.model = new InterferenceModel(log);
		this.pacing = new PaceController(settings, requests, this::suspicion, log);
	}

	private boolean isRelevant(StepSpec step) {
		return step.filling() || step.targetMillis() > 0 || !image(step).isEmpty();
	}

	private String image(StepSpec step) {
		if (!step.image().isEmpty() || !this.settings.learnsWithoutImage() || step.targetMillis() > 0) {
			return step.image();
		}
		Resources size = step.size();
		return size.processors() + "/" + size.memoryMiB() + "/" + size.accelerators();
	}

	private double suspicion(StepSpec serving, StepSpec filling) {
		return this.model.slowdown(image(serving), image(filling));
	}

	@Override
	public void runStarted(ObservedRun run, long nowNanos) {
		if (isRelevant(run.step())) {
			this.colocated.start(run, image(run.step()), nowNanos);
		}
	}

	@Override
	public void runReported(ObservedRun run, RunningTask report, long nowNanos) {
		StepSpec step = run.step();
		if (!isRelevant(step)) {
			return;
		}
		this.colocated.start(run, image(step), nowNanos);
		this.pacing.reported(run, report, nowNanos);
		this.model.review(nowNanos);
		boolean isTail = step.targetMillis() > 0 && report.usage() > 0 && report.speedPercent() == FULL_SPEED_PERCENT;
		Long observed = this.observedNanos.get(run.task());
		if (!isTail || image(step).isEmpty() || (observed != null && nowNanos - observed < REPORT_WINDOW_NANOS)) {
			return;
		}
		this.observedNanos.put(run.task(), nowNanos);
		double ratio = Math.log((double) report.usage() / step.targetMillis());
		this.model.observe(image(step), limited(ratio), 1, disturbing(run), run.worker(), nowNanos);
	}

	private static double limited(double ratio) {
		return Math.max(-MAX_RATIO, Math.min(MAX_RATIO, ratio));
	}

	private Set<String> disturbing(ObservedRun victim) {
		Set<String> images = new HashSet<>();
		for (ColocatedRuns.ActiveRun other : this.colocated.runs(victim.worker())) {
			boolean isOther = !other.run().task().equals(victim.task());
			if (isOther && !other.image().isEmpty()
					&& this.pacing.wantedPercent(other.run()) >= MIN_DISTURBING_PERCENT) {
				images.add(other.image());
			}
		}
		return images;
	}

	@Override
	public void runEnded(ObservedRun run, TerminationReason reason, long ranMillis, long nowNanos) {
		StepSpec step = run.step();
		if (!isRelevant(step)) {
			return;
		}
		this.observedNanos.remove(run.task());
		this.pacing.ended(run, nowNanos);
		boolean isMeasured = reason == TerminationReason.DONE && ranMillis > 0 && step.estimateMillis() > 0
				&& !run.resumed() && !run.adopted() && !step.longRunning() && !step.gang() && !step.filling()
				&& !image(step).isEmpty();
		this.colocated.end(run, nowNanos).filter((neighbours) -> isMeasured).ifPresent((neighbours) -> {
			double ratio = limited(Math.log((double) ranMillis / step.estimateMillis()));
			// The error of the declared run time is common to the tasks of a step.
			this.model.observe(image(step), ratio, 1.0 / step.count(), neighbours, run.worker(), nowNanos);
		});
	}

	@Override
	public void workerReset(String worker) {
		this.colocated.runs(worker).forEach((active) -> this.observedNanos.remove(active.run().task()));
		this.colocated.reset(worker);
		this.pacing.reset(worker);
	}

	@Override
	public long reportWithinMillis(String worker) {
		return this.pacing.isAlert(worker) ? TimeUnit.NANOSECONDS.toMillis(REPORT_WINDOW_NANOS)
				: RunObserver.super.reportWithinMillis(worker);
	}

	@Override
	public int penalty(StepKey key, StepSpec step, String worker) {
		String image = image(step);
		if (!this.model.hasBeliefs() || image.isEmpty()) {
			return 0;
		}
		double slowdown = 0;
		for (Map.Entry<String, Integer> other : this.colocated.images(worker).entrySet()) {
			slowdown += this.model.slowdown(image, other.getKey());
			slowdown += other.getValue() * this.model.slowdown(other.getKey(), image);
		}
		return (int) (slowdown / PairEffect.MIN_EFFECT);
	}

}
