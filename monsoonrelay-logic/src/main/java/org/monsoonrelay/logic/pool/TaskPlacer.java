package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.QueueConfiguration;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;

/**
 * Offers room to the waiting steps in the order of the queue and starts what fits. A gang
 * starts whole or not at all. Not thread-safe: confined to the control thread.
 */
final class TaskPlacer {

	/**
	 * Share of the declared run time after which the steps that follow are asked about;
	 * an answer takes up to 0.7 s and its tickets last 2 to 2.5 s.
	 */
	private static final double PREFETCH_SHARE = 0.5;

	/**
	 * How long a step that found no room is offered only workers that changed since,
	 * milliseconds. Bounds what a change costs that no worker shows, as the end of a
	 * pause of starts there. Searching all workers for all steps in each turn would take
	 * most of an owner's processor time.
	 */
	private static final long FULL_SEARCH_INTERVAL_MILLIS = 200;

	/**
	 * Share of the pool in use beyond which a step with time to spare waits for room on
	 * the workers known as allowed instead of asking about others.
	 */
	private static final double BUSY_POOL_SHARE = 0.6;

	/**
	 * How long chosen room is kept beyond the expected time of an answer, milliseconds.
	 */
	private static final long HOLD_MARGIN_MILLIS = 400;

	private final JobRegistry jobs;

	private final WorkerPool pool;

	private final RunController runs;

	private final EligibilityTracker eligibility;

	private final OwnerLease term;

	private final PoolClock clock;

	private final QueueOrder order;

	private final WorkerSelector selector;

	private final GangPlanner gangs;

	private final long slackThresholdMillis;

	private final double maxReservedShare;

	private Map<String, QueuePolicy> policies = Map.of();

	private boolean recovered;

	private boolean busy;

	TaskPlacer(JobRegistry jobs, WorkerPool pool, RunController runs, EligibilityTracker eligibility, OwnerLease term,
			PoolClock clock, PlacementRules rules) {
		this.jobs = jobs;
		this.pool = pool;
		this.runs = runs;
		this.eligibility = eligibility;
		this.term = term;
		this.clock = clock;
		this.order = rules.order();
		this.selector = rules.selector();
		this.gangs = new GangPlanner(rules.selector());
		this.slackThresholdMillis = rules.slackThresholdMillis();
		this.maxReservedShare = rules.maxReservedShare();
	}

	void configure(QueueConfiguration configuration) {
		this.policies = configuration.policies();
		this.eligibility.discardQueuedRequests();
		this.jobs.openSteps().forEach(ActiveStep::resetSearch);
	}

	/**
	 * Note that whatever an earlier owner started is known, so that its jobs' tasks which
	 * do not run may be started.
	 */
	void markRecovered() {
		this.recovered = true;
	}

	/**
	 * Offer room to all steps that wait.
	 */
	void placeAll() {
		long nowMillis = this.clock.millis();
		this.runs.suspectUnresponsiveWorkers();
		this.jobs.updateSteps(nowMillis);
		this.busy = this.pool.utilization(this.clock.nanos()) > BUSY_POOL_SHARE;
		List<QueueEntry> steps = new ArrayList<>();
		Map<QueueEntry, PlacementContext> waiting = new HashMap<>();
		for (ActiveStep step : this.jobs.openSteps()) {
			List<Integer> tasks = startableTasks(step);
			if (tasks.isEmpty()) {
				dependentsToPrefetch(step).stream().map(ActiveStep::queueEntry).forEach(steps::add);
				continue;
			}
			// What has to wait for workers of an earlier owner is asked about meanwhile.
			steps.add(step.queueEntry());
			if (mayStart(step)) {
				waiting.put(step.queueEntry(), contextOf(step, tasks));
			}
		}
		steps.sort(this.order.comparator(nowMillis));
		GangDemand demand = gangDemand(waiting.values());
		GangReservations kept = new GangReservations(this.slackThresholdMillis,
				(int) (this.maxReservedShare * this.pool.workers().size()));
		for (int rank = 0; rank < steps.size(); rank++) {
			QueueEntry next = steps.get(rank);
			PlacementContext turn = waiting.get(next);
			if (turn == null) {
				requestInitial(contextOf(next.step(), List.of()), rank);
			}
			else {
				placeStep(next, turn, rank, demand, kept);
			}
		}
	}

	private PlacementContext contextOf(ActiveStep step, List<Integer> tasks) {
		QueuePolicy accepted = step.job().submission().policy();
		QueuePolicy policy = this.policies.getOrDefault(accepted.queue(), accepted);
		return new PlacementContext(step, tasks, policy, this.eligibility.eligibilityOf(step.key()),
				this.clock.nanos());
	}

	// A gang starts whole, so that it waits for each of its tasks.
	private List<Integer> startableTasks(ActiveStep step) {
		List<Integer> open = step.waitingTasks();
		if (open.isEmpty() || this.pool.hasNoUnconfirmedTasks()) {
			return open;
		}
		List<Integer> sure = open.stream()
			.filter((index) -> !this.pool.mayRunUnconfirmed(step.key().task(index)))
			.toList();
		return (step.spec().gang() && sure.size() < open.size()) ? List.of() : sure;
	}

	private boolean mayStart(ActiveStep step) {
		String job = step.job().id();
		boolean isUnsure = !this.recovered && this.jobs.isInherited(job);
		return this.term.canGrantLeases() && !isUnsure && !this.jobs.isDeferred(job);
	}

	private GangDemand gangDemand(Collection<PlacementContext> waiting) {
		GangDemand demand = new GangDemand();
		for (PlacementContext turn : waiting) {
			if (turn.step().spec().gang()) {
				eligibleWorkers(turn).forEach((worker) -> demand.add(worker.id()));
			}
		}
		return demand;
	}

	private void placeStep(QueueEntry next, PlacementContext turn, int rank, GangDemand demand, GangReservations kept) {
		if (turn.policy().needsEligibility() && !turn.eligibility().hasReply()) {
			requestInitial(turn, rank);
			return;
		}
		if (turn.step().spec().gang()) {
			placeGang(next, turn, rank, demand, kept);
		}
		else {
			placeTasks(turn, rank, demand, kept.availableTo(next, this.clock.millis()));
		}
	}

	private void placeTasks(PlacementContext turn, int rank, GangDemand demand, Predicate<PoolWorker> open) {
		ActiveStep step = turn.step();
		boolean isDue = turn.nowNanos() - step.lastFullSearchNanos() > TimeUnit.MILLISECONDS
			.toNanos(FULL_SEARCH_INTERVAL_MILLIS);
		boolean all = isDue || step.lastSearchedChange() < 0;
		long since = all ? -1 : step.lastSearchedChange();
		long changes = this.pool.capacityVersion();
		List<PoolWorker> fitting = fittingWorkers(turn, open.and((worker) -> worker.capacityVersion() > since));
		List<PoolWorker> usable = new ArrayList<>(fitting.stream().filter(turn::hasTicket).toList());
		for (int index : turn.tasks()) {
			Optional<PoolWorker> worker = this.selector.select(step, index, usable, demand);
			if (worker.isEmpty()) {
				step.recordFailedSearch(changes, all ? turn.nowNanos() : step.lastFullSearchNanos());
				if (all || !fitting.isEmpty()) {
					request(turn, rank, () -> EligibilityRequestDraft.of(renewalCandidates(refresh(turn))));
				}
				return;
			}
			start(turn, index, step.nextAttempt(index), worker.get());
			if (!turn.fits(worker.get(), 1)) {
				usable.remove(worker.get());
			}
		}
	}

	private List<PoolWorker> renewalCandidates(PlacementContext turn) {
		if (turn.tasks().isEmpty()) {
			return List.of();
		}
		List<PoolWorker> withRoom = fittingWorkers(turn, (worker) -> !turn.hasTicket(worker));
		return withRoom.isEmpty() ? additionalCandidates(turn)
				: EligibilityCandidates.selectForRenewal(turn, eligibleWorkers(turn), withRoom);
	}

	private List<PoolWorker> additionalCandidates(PlacementContext turn) {
		if (turn.tasks().isEmpty()) {
			return List.of();
		}
		List<PoolWorker> unasked = matchingWorkers(turn).stream()
			.filter((worker) -> !turn.eligibility().wasQueried(worker.id()))
			.toList();
		return EligibilityCandidates.selectAdditional(turn, eligibleWorkers(turn), unasked, canWait(turn));
	}

	private boolean canWait(PlacementContext turn) {
		StepSpec spec = turn.step().spec();
		boolean hasTime = turn.step().queueEntry().latestStartMillis()
				- this.clock.millis() > this.slackThresholdMillis;
		return hasTime && !spec.gang() && !spec.longRunning() && this.busy;
	}

	// The same step in the turn in which its question goes out.
	private PlacementContext refresh(PlacementContext turn) {
		return contextOf(turn.step(), turn.step().waitingTasks());
	}

	// Looking at these alone, a third of a large pool, takes a third of the time.
	private Collection<PoolWorker> eligibleWorkers(PlacementContext turn) {
		if (!turn.policy().needsEligibility()) {
			return this.pool.workers();
		}
		List<PoolWorker> known = new ArrayList<>();
		for (String id : turn.eligibility().eligibleWorkers()) {
			this.pool.worker(id).filter(PoolWorker::isUsable).ifPresent(known::add);
		}
		return known;
	}

	private List<PoolWorker> fittingWorkers(PlacementContext turn, Predicate<PoolWorker> usable) {
		List<PoolWorker> fitting = new ArrayList<>();
		for (PoolWorker worker : eligibleWorkers(turn)) {
			if (usable.test(worker) && turn.matches(worker) && turn.fits(worker, 1)) {
				fitting.add(worker);
			}
		}
		return fitting;
	}

	private void placeGang(QueueEntry next, PlacementContext turn, int rank, GangDemand demand, GangReservations kept) {
		ActiveStep step = turn.step();
		if (step.isHoldingCapacity()) {
			if (this.eligibility.isRequestPending(step.key())) {
				return;
			}
			step.setHoldingCapacity(false);
			this.pool.workers().forEach((worker) -> worker.releaseHold(step.key()));
		}
		List<PoolWorker> fitting = fittingWorkers(turn, kept::isAvailableToGangs);
		Optional<Map<Integer, PoolWorker>> ready = this.gangs.plan(turn,
				fitting.stream().filter(turn::hasTicket).toList(), demand);
		if (ready.isPresent()) {
			int attempt = step.nextAttempt(0);
			ready.get().forEach((index, worker) -> start(turn, index, attempt, worker));
			return;
		}
		Optional<Map<Integer, PoolWorker>> wanted = this.gangs.plan(turn, fitting, demand);
		if (wanted.isPresent()) {
			wanted.get().values().forEach(kept::setAside);
			request(turn, rank, () -> renewalDraft(refresh(turn), demand, kept));
			return;
		}
		if (EligibilityCandidates.canHoldAllTasks(turn, eligibleWorkers(turn))) {
			eligibleWorkers(turn).forEach(kept::setAside);
			List<PoolWorker> reserved = reserveWorkers(next, turn, kept);
			if (!reserved.stream().allMatch(turn::hasTicket)) {
				// The tickets are there when the room is.
				request(turn, rank, () -> EligibilityRequestDraft.of(reserved));
				return;
			}
		}
		if (turn.nowNanos() - step.lastFullSearchNanos() > TimeUnit.MILLISECONDS.toNanos(FULL_SEARCH_INTERVAL_MILLIS)) {
			step.recordFailedSearch(this.pool.capacityVersion(), turn.nowNanos());
			request(turn, rank, () -> EligibilityRequestDraft.of(additionalCandidates(refresh(turn))));
		}
	}

	private List<PoolWorker> reserveWorkers(QueueEntry next, PlacementContext turn, GangReservations kept) {
		long spare = next.latestStartMillis() - this.clock.millis();
		return (spare < 0) ? List.of() : kept.reserve(turn, eligibleWorkers(turn), spare - requestMillis(turn),
				(worker) -> worker.millisUntilIdle(turn.nowNanos()));
	}

	private static long requestMillis(PlacementContext turn) {
		return turn.policy().needsEligibility() ? (long) turn.policy().eligibility().costMillis(turn.tasks().size())
				: 0;
	}

	// Room is kept once the question goes out, and on workers known as allowed: kept for
	// questions that wait it would grow to most of a pool, with steps starving beside.
	private EligibilityRequestDraft renewalDraft(PlacementContext turn, GangDemand demand, GangReservations kept) {
		if (turn.tasks().isEmpty() || !turn.policy().needsEligibility()) {
			return EligibilityRequestDraft.EMPTY;
		}
		return this.gangs.plan(turn, fittingWorkers(turn, kept::isAvailableToGangs), demand)
			.map((plan) -> EligibilityRequestDraft.of(plan.values().stream().distinct().toList(),
					() -> holdCapacity(turn, plan)))
			.orElse(EligibilityRequestDraft.EMPTY);
	}

	private void holdCapacity(PlacementContext turn, Map<Integer, PoolWorker> plan) {
		Map<PoolWorker, Integer> counts = new HashMap<>();
		plan.values().forEach((worker) -> counts.merge(worker, 1, Integer::sum));
		double millis = turn.policy().eligibility().costMillis(counts.size()) + HOLD_MARGIN_MILLIS;
		long until = this.clock.nanos() + TimeUnit.MILLISECONDS.toNanos((long) millis);
		ActiveStep step = turn.step();
		step.setHoldingCapacity(true);
		counts.forEach((worker, count) -> worker.hold(step.key(), step.spec().committedSize().times(count), until));
	}

	private void start(PlacementContext turn, int index, int attempt, PoolWorker worker) {
		this.runs.start(turn.step(), index, attempt, worker, turn.ticket(worker));
	}

	private void requestInitial(PlacementContext turn, int rank) {
		boolean isWanted = turn.policy().needsEligibility() && !turn.eligibility().hasReply();
		if (isWanted && this.eligibility.mayRequest(turn.step().key(), rank)) {
			request(turn, rank,
					() -> EligibilityRequestDraft.of(EligibilityCandidates.selectInitial(turn, matchingWorkers(turn))));
		}
	}

	private void request(PlacementContext turn, int rank, Supplier<EligibilityRequestDraft> draft) {
		if (turn.policy().needsEligibility()) {
			EligibilityTimes times = Objects.requireNonNull(turn.policy().eligibility());
			this.eligibility.request(turn.step().key(), times, draft, rank);
		}
	}

	private List<PoolWorker> matchingWorkers(PlacementContext turn) {
		Resources size = turn.step().spec().committedSize();
		return this.pool.workers()
			.stream()
			.filter((worker) -> worker.isListed() && !worker.isLost() && !worker.info().draining())
			.filter((worker) -> turn.matches(worker) && worker.info().capacity().covers(size))
			.toList();
	}

	// Steps that are asked about ahead, because the one before them may end soon.
	private List<ActiveStep> dependentsToPrefetch(ActiveStep step) {
		if (!step.hasDependents() || step.isIdle()) {
			return List.of();
		}
		double share = PREFETCH_SHARE * step.spec().estimateMillis();
		long now = this.clock.nanos();
		List<Run> alive = step.activeRuns();
		boolean isEarly = alive.stream()
			.anyMatch((run) -> TimeUnit.NANOSECONDS.toMillis(now - run.requestedNanos()) < share);
		if (isEarly || !contextOf(step, List.of()).policy().needsEligibility()) {
			return List.of();
		}
		List<ActiveStep> followers = new ArrayList<>();
		List<StepSpec> steps = step.job().submission().steps();
		for (int i = step.key().step() + 1; i < steps.size(); i++) {
			StepKey next = new StepKey(step.key().job(), step.key().occurrence(), i);
			if (steps.get(i).dependsOn().contains(step.key().step())
					&& !this.eligibility.eligibilityOf(next).hasReply()) {
				followers.add(new ActiveStep(next, step.job(), 0));
			}
		}
		return followers;
	}

}
