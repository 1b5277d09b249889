package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import org.monsoonrelay.model.submission.QueueConfiguration;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;

/**
 * Offers free capacity to waiting steps in queue order and starts the tasks that fit. A
 * gang starts as a whole or not at all. Not thread-safe: confined to the control thread.
 */
final class TaskPlacer {

	/**
	 * Share of the declared run time after which eligibility is requested for dependent
	 * steps; a reply takes up to 0.7 s and tickets are valid for 2 to 2.5 s.
	 */
	private static final double PREFETCH_SHARE = 0.5;

	/**
	 * How long a step that found no free capacity is offered only workers that changed
	 * since, in milliseconds. Bounds the delay after changes that are not recorded for a
	 * worker, such as the end of a pause of starts on it. Searching all workers for all
	 * steps in each pass would take most of the owner's processor time.
	 */
	private static final long FULL_SEARCH_MILLIS = 200;

	/**
	 * Share of the pool in use above which a step with slack waits for free capacity on
	 * its eligible workers instead of querying others.
	 */
	private static final double BUSY_POOL_SHARE = 0.6;

	/** How long capacity is held beyond the expected reply time, in milliseconds. */
	private static final long HOLD_MARGIN_MILLIS = 400;

	private final JobRegistry jobs;

	private final WorkerPool pool;

	private final RunController runs;

	private final EligibilityTracker eligibility;

	private final EligibilityRequests requests;

	private final StartGate gate;

	private final CustomerAccounts accounts;

	private final PoolClock clock;

	private final QueueOrder order;

	private final PlacementWindow window;

	private final WorkerSelector selector;

	private final WorkerSearch search;

	private final GangPlanner gangs;

	private final WaitDiagnosis diagnosis;

	private final long slackThresholdMillis;

	private final double maxReservedShare;

	TaskPlacer(JobRegistry jobs, WorkerPool pool, RunController runs, EligibilityTracker eligibility, OwnerLease lease,
			CustomerAccounts accounts, InheritedCancellations cancellations, PoolClock clock, PlacementRules rules) {
		this.jobs = jobs;
		this.pool = pool;
		this.runs = runs;
		this.eligibility = eligibility;
		this.gate = new StartGate(jobs, pool, lease, runs.inheritedStarts(), cancellations);
		this.accounts = accounts;
		this.clock = clock;
		this.order = rules.order();
		this.window = new PlacementWindow(jobs, this.order);
		jobs.observeOpenSteps(this.window);
		this.selector = new CrashIsolation(rules.selector(), pool);
		this.search = new WorkerSearch(pool);
		this.requests = new EligibilityRequests(eligibility, this.search, new StartForecast(jobs, pool), clock,
				rules.slackThresholdMillis());
		this.gangs = new GangPlanner(this.selector);
		this.diagnosis = new WaitDiagnosis(this.search, new GangPlanner(rules.selector()));
		this.slackThresholdMillis = rules.slackThresholdMillis();
		this.maxReservedShare = rules.maxReservedShare();
	}

	void configure(QueueConfiguration configuration) {
		this.requests.configure(configuration);
		this.accounts.configure(configuration.customers());
		this.jobs.openSteps().forEach(ActiveStep::resetSearch);
	}

	/**
	 * Records that all runs started by an earlier owner are known, so that tasks of its
	 * jobs that are not running may be started.
	 */
	void markRecovered() {
		this.gate.markRecovered();
	}

	/**
	 * Offers a step capacity on all its eligible workers in the next pass, because more
	 * of them may have become eligible or tickets were renewed.
	 * @param key the step
	 */
	void eligibilityAnswered(StepKey key) {
		this.jobs.step(key).ifPresent(ActiveStep::resetSearch);
		this.window.eligibilityAnswered(key);
	}

	/**
	 * Runs one placement pass over the waiting steps that can start.
	 */
	void placeAll() {
		long nowMillis = this.clock.millis();
		this.runs.suspectUnresponsiveWorkers();
		this.jobs.updateSteps(nowMillis);
		this.accounts.beginPass();
		this.requests.beginPass(this.pool.utilization(this.clock.nanos()) > BUSY_POOL_SHARE);
		List<QueueEntry> entries = new ArrayList<>();
		Map<QueueEntry, PlacementContext> contexts = new HashMap<>();
		Map<QueueEntry, Optional<WaitReason>> renewals = new HashMap<>();
		PlacementWindow.Selection selected = this.window.select(nowMillis);
		this.eligibility.discardQueuedRequests(selected.passedOver());
		for (ActiveStep step : selected.steps()) {
			StartCheck check = this.gate.check(step);
			check.reason().ifPresent((reason) -> step.waiting().record(reason, this.clock.nanos()));
			boolean isBehind = selected.behind().contains(step);
			if (!isBehind && !check.mayStart() && this.requests.isRenewalDue(step, check.reason())) {
				renewals.put(step.queueEntry(), check.reason());
			}
			if (check.tasks().isEmpty()) {
				if (check.reason().isEmpty()) {
					step.waiting().end();
				}
				dependentsToPrefetch(step).stream().map(ActiveStep::queueEntry).forEach(entries::add);
				if (renewals.containsKey(step.queueEntry())) {
					entries.add(step.queueEntry());
				}
				continue;
			}
			PlacementContext context = this.requests.contextOf(step, check.tasks());
			if (isBehind && !(check.mayStart() && this.search.hasRoom(context))) {
				if (check.mayStart()) {
					context.recordWait(WaitReason.NO_CAPACITY);
				}
				continue;
			}
			// Eligibility is requested even while the step waits for earlier owners'
			// runs.
			entries.add(step.queueEntry());
			if (check.mayStart()) {
				contexts.put(step.queueEntry(), context);
			}
		}
		entries.sort(this.order.comparator(nowMillis));
		entries = this.accounts.inFairOrder(entries, contexts, this.clock.nanos());
		GangDemand demand = gangDemand(contexts.values());
		GangReservations reservations = new GangReservations(this.slackThresholdMillis,
				(int) (this.maxReservedShare * this.pool.workers().size()));
		for (int rank = 0; rank < entries.size(); rank++) {
			QueueEntry entry = entries.get(rank);
			PlacementContext context = contexts.get(entry);
			if (renewals.containsKey(entry)) {
				this.requests.requestRenewal(entry.step(), renewals.get(entry), rank);
			}
			else if (context == null) {
				this.requests.requestInitial(this.requests.contextOf(entry.step(), List.of()), rank);
			}
			else {
				placeStep(entry, context, rank, demand, reservations);
			}
		}
	}

	private GangDemand gangDemand(Collection<PlacementContext> contexts) {
		GangDemand demand = new GangDemand();
		for (PlacementContext context : contexts) {
			boolean isGang = context.step().spec().gang();
			if (isGang && this.accounts.mayStart(context.step(), context.tasks().size())) {
				this.search.eligible(context).forEach((worker) -> demand.add(worker.id()));
			}
		}
		return demand;
	}

	private void placeStep(QueueEntry entry, PlacementContext context, int rank, GangDemand demand,
			GangReservations reservations) {
		if (context.policy().needsEligibility() && !context.eligibility().hasReply()) {
			context.recordWait(WaitReason.ELIGIBILITY_UNKNOWN);
			this.requests.requestInitial(context, rank);
			return;
		}
		boolean isGang = context.step().spec().gang();
		if (!this.accounts.mayStart(context.step(), isGang ? context.tasks().size() : 1)) {
			waitForLimit(context);
			return;
		}
		if (isGang) {
			placeGang(entry, context, rank, demand, reservations);
		}
		else {
			placeTasks(context, rank, demand, reservations.availableTo(entry, this.clock.millis()));
		}
	}

	// Steps behind this one go on: it holds, reserves and queries nothing meanwhile.
	private void waitForLimit(PlacementContext context) {
		context.recordWait(WaitReason.CUSTOMER_LIMIT);
		context.step().resetSearch();
		if (context.step().isHoldingCapacity()) {
			context.step().setHoldingCapacity(false);
			this.pool.workers().forEach((worker) -> worker.releaseHold(context.step().key()));
		}
	}

	private void placeTasks(PlacementContext context, int rank, GangDemand demand, Predicate<PoolWorker> available) {
		ActiveStep step = context.step();
		boolean isDue = context.nowNanos() - step.fullSearchNanos() > TimeUnit.MILLISECONDS.toNanos(FULL_SEARCH_MILLIS);
		boolean isFullSearch = isDue || step.lastSearchedChange() < 0;
		long since = isFullSearch ? -1 : step.lastSearchedChange();
		long changes = this.pool.capacityVersion();
		List<PoolWorker> fitting = this.search.fitting(context,
				available.and((worker) -> worker.capacityVersion() > since));
		List<PoolWorker> usable = new ArrayList<>(fitting.stream().filter(context::hasTicket).toList());
		for (int index : context.tasks()) {
			if (!this.accounts.mayStart(step, 1)) {
				waitForLimit(context);
				return;
			}
			Optional<PoolWorker> worker = this.selector.select(step, index, usable, demand);
			if (worker.isEmpty()) {
				step.recordFailedSearch(changes, isFullSearch ? context.nowNanos() : step.fullSearchNanos());
				if (isFullSearch || !fitting.isEmpty()) {
					context.recordWait(this.diagnosis.reasonNoTaskFits(context, fitting, usable));
					this.requests.requestFollowUp(context, rank);
				}
				return;
			}
			if (!this.gate.prepareStart(step, List.of(index))) {
				context.recordWait(WaitReason.RECORDS_NOT_DURABLE);
				continue;
			}
			start(context, index, step.nextAttempt(index), worker.get());
			if (!context.fits(worker.get(), 1)) {
				usable.remove(worker.get());
			}
		}
	}

	private void placeGang(QueueEntry entry, PlacementContext context, int rank, GangDemand demand,
			GangReservations reservations) {
		ActiveStep step = context.step();
		if (step.isHoldingCapacity()) {
			if (this.eligibility.isRequestPending(step.key())) {
				context.recordWait(WaitReason.TICKETS_EXPIRED);
				return;
			}
			step.setHoldingCapacity(false);
			this.pool.workers().forEach((worker) -> worker.releaseHold(step.key()));
		}
		List<PoolWorker> fitting = this.search.fitting(context, reservations::isAvailableToGangs);
		Optional<Map<Integer, PoolWorker>> ready = this.gangs.plan(context,
				fitting.stream().filter(context::hasTicket).toList(), demand);
		if (ready.isPresent()) {
			if (!this.gate.prepareStart(step, context.tasks())) {
				context.recordWait(WaitReason.RECORDS_NOT_DURABLE);
				return;
			}
			int attempt = step.nextAttempt(0);
			ready.get().forEach((index, worker) -> start(context, index, attempt, worker));
			return;
		}
		Optional<Map<Integer, PoolWorker>> planned = this.gangs.plan(context, fitting, demand);
		if (planned.isPresent()) {
			context.recordWait(WaitReason.TICKETS_EXPIRED);
			planned.get().values().forEach(reservations::setAside);
			this.requests.request(context, rank,
					() -> renewalDraft(this.requests.refresh(context), demand, reservations));
			return;
		}
		context.recordWait(this.diagnosis.reasonNoGangFits(context, fitting));
		if (EligibilityCandidates.canHoldAllTasks(context, this.search.eligible(context))) {
			this.search.eligible(context).forEach(reservations::setAside);
			List<PoolWorker> reserved = reserveWorkers(entry, context, reservations);
			if (!reserved.stream().allMatch(context::hasTicket)) {
				// Renews the tickets in time for when the workers become free.
				this.requests.request(context, rank, () -> EligibilityRequestDraft.of(reserved));
				return;
			}
		}
		if (context.nowNanos() - step.fullSearchNanos() > TimeUnit.MILLISECONDS.toNanos(FULL_SEARCH_MILLIS)) {
			step.recordFailedSearch(this.pool.capacityVersion(), context.nowNanos());
			this.requests.request(context, rank, () -> EligibilityRequestDraft
				.of(this.requests.additionalCandidates(this.requests.refresh(context))));
		}
	}

	private List<PoolWorker> reserveWorkers(QueueEntry entry, PlacementContext context, GangReservations reservations) {
		long slackMillis = entry.latestStartMillis() - this.clock.millis();
		return (slackMillis < 0) ? List.of() : reservations.reserve(context, this.search.eligible(context),
				slackMillis - requestMillis(context), (worker) -> worker.millisUntilIdle(context.nowNanos()));
	}

	private static long requestMillis(PlacementContext context) {
		return context.policy().needsEligibility()
				? (long) context.policy().eligibility().costMillis(context.tasks().size()) : 0;
	}

	// Capacity is held only once the request is sent, and only on eligible workers: if
	// queued requests held capacity, holds would grow to most of the pool and starve
	// other steps.
	private EligibilityRequestDraft renewalDraft(PlacementContext context, GangDemand demand,
			GangReservations reservations) {
		if (context.tasks().isEmpty() || !context.policy().needsEligibility()) {
			return EligibilityRequestDraft.EMPTY;
		}
		return this.gangs.plan(context, this.search.fitting(context, reservations::isAvailableToGangs), demand)
			.map((plan) -> EligibilityRequestDraft.of(plan.values().stream().distinct().toList(),
					() -> holdCapacity(context, plan)))
			.orElse(EligibilityRequestDraft.EMPTY);
	}

	private void holdCapacity(PlacementContext context, Map<Integer, PoolWorker> plan) {
		Map<PoolWorker, Integer> counts = new HashMap<>();
		plan.values().forEach((worker) -> counts.merge(worker, 1, Integer::sum));
		double millis = context.policy().eligibility().costMillis(counts.size()) + HOLD_MARGIN_MILLIS;
		long until = this.clock.nanos() + TimeUnit.MILLISECONDS.toNanos((long) millis);
		ActiveStep step = context.step();
		step.setHoldingCapacity(true);
		counts.forEach((worker, count) -> worker.hold(step.key(), step.spec().committedSize().times(count), until));
	}

	/**
	 * Returns the steps whose tasks have been waiting for a while.
	 * @param minMillis minimum time without a start, milliseconds
	 * @return the steps
	 */
	List<ActiveStep> stepsWaiting(long minMillis) {
		long now = this.clock.nanos();
		return this.jobs.openSteps()
			.stream()
			.filter((step) -> step.waiting().reason().isPresent() && step.waiting().millis(now) >= minMillis)
			.toList();
	}

	/**
	 * Describes a step whose tasks wait.
	 * @param step the step
	 * @return the description
	 */
	WaitingStep describe(ActiveStep step) {
		return this.diagnosis.describe(this.requests.contextOf(step, step.waitingTasks()));
	}

	private void start(PlacementContext context, int index, int attempt, PoolWorker worker) {
		this.runs.start(context.step(), index, attempt, worker, context.ticket(worker));
	}

	// Dependents of a step that may end soon; their eligibility is requested in advance.
	private List<ActiveStep> dependentsToPrefetch(ActiveStep step) {
		if (!step.hasDependents() || step.isIdle()) {
			return List.of();
		}
		double prefetchMillis = PREFETCH_SHARE * step.spec().estimateMillis();
		long now = this.clock.nanos();
		List<Run> active = step.activeRuns();
		boolean isEarly = active.stream()
			.anyMatch((run) -> TimeUnit.NANOSECONDS.toMillis(now - run.requestedNanos()) < prefetchMillis);
		if (isEarly || !this.requests.contextOf(step, List.of()).policy().needsEligibility()) {
			return List.of();
		}
		List<ActiveStep> dependents = new ArrayList<>();
		List<StepSpec> steps = step.job().submission().steps();
		for (int i = step.key().step() + 1; i < steps.size(); i++) {
			StepKey next = new StepKey(step.key().job(), step.key().occurrence(), i);
			if (steps.get(i).dependsOn().contains(step.key().step())
					&& !this.eligibility.eligibilityOf(next).hasReply()) {
				dependents.add(new ActiveStep(next, step.job(), 0));
			}
		}
		return dependents;
	}

}
