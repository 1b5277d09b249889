package org.monsoonrelay.logic.pool;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.QueueConfiguration;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.StepSpec;

/**
 * Selects the workers that the eligibility requests of a step query. A step that cannot
 * be started yet renews its tickets if it is known when it can. Invariant: tickets are
 * not renewed before the renewed ones are valid at that time. Not thread-safe: confined
 * to the control thread.
 */
final class EligibilityRequests {

	/**
	 * Time that tickets are to be valid after the end of a wait, milliseconds: a turn,
	 * and a write that confirms the losses, which takes up to 300 ms.
	 */
	private static final long START_DELAY_MILLIS = 400;

	/**
	 * Interval at which steps are checked that cannot be started yet, milliseconds. Short
	 * compared to the time for which tickets are valid.
	 */
	private static final long RENEWAL_CHECK_MILLIS = 100;

	private final EligibilityTracker eligibility;

	private final WorkerSearch search;

	private final StartForecast forecast;

	private final PoolClock clock;

	private final long slackThresholdMillis;

	private Map<String, QueuePolicy> policies = Map.of();

	private boolean busy;

	private boolean renewalCheckDue;

	private long nextRenewalCheckNanos;

	EligibilityRequests(EligibilityTracker eligibility, WorkerSearch search, StartForecast forecast, PoolClock clock,
			long slackThresholdMillis) {
		this.eligibility = eligibility;
		this.search = search;
		this.forecast = forecast;
		this.clock = clock;
		this.slackThresholdMillis = slackThresholdMillis;
		this.nextRenewalCheckNanos = clock.nanos();
	}

	void configure(QueueConfiguration configuration) {
		this.policies = configuration.policies();
		this.eligibility.discardQueuedRequests();
	}

	/**
	 * Begins a placement pass.
	 * @param isBusy whether so much of the pool is in use that steps with slack wait for
	 * their eligible workers
	 */
	void beginPass(boolean isBusy) {
		long now = this.clock.nanos();
		this.busy = isBusy;
		this.renewalCheckDue = now - this.nextRenewalCheckNanos >= 0;
		if (this.renewalCheckDue) {
			this.nextRenewalCheckNanos = now + TimeUnit.MILLISECONDS.toNanos(RENEWAL_CHECK_MILLIS);
			this.forecast.update(now);
		}
	}

	PlacementContext contextOf(ActiveStep step, List<Integer> tasks) {
		return contextOf(step, tasks, this.clock.nanos());
	}

	private PlacementContext contextOf(ActiveStep step, List<Integer> tasks, long nanos) {
		QueuePolicy submitted = step.job().submission().policy();
		QueuePolicy policy = this.policies.getOrDefault(submitted.queue(), submitted);
		return new PlacementContext(step, tasks, policy, this.eligibility.eligibilityOf(step.key()), nanos);
	}

	/**
	 * The context of a step at the time when its request is sent.
	 * @param context the context when the request was queued
	 * @return the current context
	 */
	PlacementContext refresh(PlacementContext context) {
		return contextOf(context.step(), context.step().waitingTasks());
	}

	/**
	 * Queues a request if the step needs eligibility.
	 * @param context the step
	 * @param rank position of the step in the queue, 0 is first
	 * @param draft selects the workers to query
	 */
	void request(PlacementContext context, int rank, Supplier<EligibilityRequestDraft> draft) {
		if (context.policy().needsEligibility()) {
			EligibilityTimes times = Objects.requireNonNull(context.policy().eligibility());
			this.eligibility.request(context.step().key(), times, draft, rank);
		}
	}

	/**
	 * Queues the first request of a step.
	 * @param context the step
	 * @param rank position of the step in the queue, 0 is first
	 */
	void requestInitial(PlacementContext context, int rank) {
		boolean isNeeded = context.policy().needsEligibility() && !context.eligibility().hasReply();
		if (isNeeded && this.eligibility.mayRequest(context.step().key(), rank)) {
			request(context, rank, () -> EligibilityRequestDraft
				.of(EligibilityCandidates.selectInitial(context, this.search.matching(context))));
		}
	}

	/**
	 * Queues a request for workers that the waiting tasks of a step can use now.
	 * @param context the step
	 * @param rank position of the step in the queue, 0 is first
	 */
	void requestFollowUp(PlacementContext context, int rank) {
		request(context, rank, () -> EligibilityRequestDraft.of(followUpCandidates(refresh(context))));
	}

	/**
	 * Returns whether a step that cannot be started now has to renew its tickets so that
	 * they are valid as soon as it can. Gangs renew theirs together with the capacity
	 * that they hold.
	 * @param step the step
	 * @param reason why its waiting tasks are not started, empty if none is waiting
	 * @return {@code true} if {@link #requestRenewal} is due
	 */
	boolean isRenewalDue(ActiveStep step, Optional<WaitReason> reason) {
		if (!this.renewalCheckDue || step.spec().gang()) {
			return false;
		}
		return this.forecast.next(step, reason, this.clock.nanos())
			.filter((start) -> !start.tasks().isEmpty() && isDue(contextOf(step, start.tasks()), start.latestNanos()))
			.isPresent();
	}

	// The least duration of a call counts: if the answer came earlier, the tickets would
	// expire during the wait.
	private static boolean isDue(PlacementContext context, long startNanos) {
		if (!context.policy().needsEligibility()) {
			return false;
		}
		EligibilityTimes times = Objects.requireNonNull(context.policy().eligibility());
		long remainingMillis = TimeUnit.NANOSECONDS.toMillis(startNanos - context.nowNanos());
		return remainingMillis + START_DELAY_MILLIS <= times.costMillis(1) + EligibilityTracker.usableMillis(times);
	}

	/**
	 * Queues a request for a step that cannot be started now and has too few tickets that
	 * are valid once it can.
	 * @param step the step
	 * @param reason why its waiting tasks are not started, empty if none is waiting
	 * @param rank position of the step in the queue, 0 is first
	 */
	void requestRenewal(ActiveStep step, Optional<WaitReason> reason, int rank) {
		PlacementContext context = contextOf(step, List.of());
		if (!context.eligibility().hasReply()) {
			requestInitial(context, rank);
		}
		else if (this.eligibility.mayRequest(step.key(), rank)) {
			request(context, rank, () -> renewalDraft(step, reason));
		}
	}

	private EligibilityRequestDraft renewalDraft(ActiveStep step, Optional<WaitReason> reason) {
		return this.forecast.next(step, reason, this.clock.nanos())
			.map((start) -> contextOf(step, start.tasks(), start.latestNanos()))
			.filter((context) -> !hasEnoughTickets(context))
			.map((context) -> EligibilityRequestDraft.of(followUpCandidates(context)))
			.orElse(EligibilityRequestDraft.EMPTY);
	}

	private boolean hasEnoughTickets(PlacementContext context) {
		return EligibilityCandidates.freeSlots(context,
				this.search.fitting(context, context::hasTicket)) >= context.tasks().size();
	}

	private List<PoolWorker> followUpCandidates(PlacementContext context) {
		if (context.tasks().isEmpty()) {
			return List.of();
		}
		List<PoolWorker> withCapacity = this.search.fitting(context, (worker) -> !context.hasTicket(worker));
		return withCapacity.isEmpty() ? additionalCandidates(context)
				: EligibilityCandidates.selectForRenewal(context, this.search.eligible(context), withCapacity);
	}

	/**
	 * Selects workers that have not been queried for a step.
	 * @param context the step
	 * @return the workers, empty if no request is needed
	 */
	List<PoolWorker> additionalCandidates(PlacementContext context) {
		if (context.tasks().isEmpty()) {
			return List.of();
		}
		List<PoolWorker> unqueried = this.search.matching(context)
			.stream()
			.filter((worker) -> !context.eligibility().wasQueried(worker.id()))
			.toList();
		return EligibilityCandidates.selectAdditional(context, this.search.eligible(context), unqueried,
				canWait(context));
	}

	private boolean canWait(PlacementContext context) {
		StepSpec spec = context.step().spec();
		boolean hasSlack = context.step().queueEntry().latestStartMillis()
				- this.clock.millis() > this.slackThresholdMillis;
		return hasSlack && !spec.gang() && !spec.longRunning() && this.busy;
	}

}
