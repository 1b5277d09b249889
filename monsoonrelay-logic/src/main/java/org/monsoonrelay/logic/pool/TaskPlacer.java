package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

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
	private static final double ASK_AHEAD_SHARE = 0.5;

	/**
	 * How long chosen room is kept beyond the expected time of an answer, milliseconds.
	 */
	private static final long HOLD_MARGIN_MILLIS = 400;

	private final JobRegistry jobs;

	private final WorkerPool pool;

	private final RunController runs;

	private final EligibilityTracker eligibility;

	private final OwnerTerm term;

	private final PoolClock clock;

	private final QueueOrder order;

	private final WorkerChoice choice;

	private final long spareMillis;

	private Map<String, QueuePolicy> policies = Map.of();

	private boolean accounted;

	TaskPlacer(JobRegistry jobs, WorkerPool pool, RunController runs, EligibilityTracker eligibility, OwnerTerm term,
			PoolClock clock, PlacementRules rules) {
		this.jobs = jobs;
		this.pool = pool;
		this.runs = runs;
		this.eligibility = eligibility;
		this.term = term;
		this.clock = clock;
		this.order = rules.order();
		this.choice = rules.choice();
		this.spareMillis = rules.spareMillis();
	}

	void configure(QueueConfiguration configuration) {
		this.policies = configuration.policies();
	}

	/**
	 * Note that whatever an earlier owner started is known, so that its jobs' tasks which
	 * do not run may be started.
	 */
	void accounted() {
		this.accounted = true;
	}

	/**
	 * Offer room to all steps that wait.
	 */
	void place() {
		long nowMillis = this.clock.millis();
		this.jobs.closeSteps();
		this.jobs.openSteps(nowMillis);
		List<WaitingStep> waiting = new ArrayList<>();
		Set<WaitingStep> ahead = new HashSet<>();
		for (ActiveStep step : this.jobs.openSteps()) {
			if (mayStart(step) && !waiting(step).isEmpty()) {
				waiting.add(WaitingStep.of(step));
			}
			followers(step).stream().map(WaitingStep::of).forEach(ahead::add);
		}
		GangDemand demand = demand(waiting);
		waiting.addAll(ahead);
		waiting.sort(this.order.at(nowMillis));
		RoomForGangs kept = new RoomForGangs(this.spareMillis);
		for (int rank = 0; rank < waiting.size(); rank++) {
			WaitingStep next = waiting.get(rank);
			if (ahead.contains(next)) {
				ask(next.step(), possible(next.step()), rank);
			}
			else {
				place(next, rank, demand, kept);
			}
		}
	}

	// A gang starts whole, so that it waits for each of its tasks.
	private List<Integer> waiting(ActiveStep step) {
		List<Integer> open = step.waiting();
		List<Integer> sure = open.stream().filter((index) -> !this.pool.mayRunUnseen(step.key().task(index))).toList();
		return (step.spec().gang() && sure.size() < open.size()) ? List.of() : sure;
	}

	private boolean mayStart(ActiveStep step) {
		String job = step.job().id();
		boolean isUnsure = !this.accounted && this.jobs.isInherited(job);
		return this.term.mayOrder() && !isUnsure && !this.jobs.isHeld(job);
	}

	private GangDemand demand(List<WaitingStep> waiting) {
		GangDemand demand = new GangDemand();
		for (WaitingStep next : waiting) {
			ActiveStep step = next.step();
			if (step.spec().gang()) {
				this.pool.all()
					.stream()
					.filter((worker) -> isEligible(step, worker))
					.forEach((worker) -> demand.add(worker.id()));
			}
		}
		return demand;
	}

	private void place(WaitingStep next, int rank, GangDemand demand, RoomForGangs kept) {
		ActiveStep step = next.step();
		if (policy(step).needsEligibility() && !this.eligibility.isAnswered(step.key())) {
			ask(step, possible(step), rank);
			return;
		}
		this.pool.all().forEach((worker) -> worker.unhold(step.key()));
		if (step.spec().gang()) {
			placeGang(step, rank, demand, kept);
		}
		else {
			placeEach(step, rank, demand, kept.openTo(next, this.clock.millis()));
		}
	}

	private void placeEach(ActiveStep step, int rank, GangDemand demand, Predicate<PoolWorker> open) {
		Map<String, Integer> none = Map.of();
		for (int index : waiting(step)) {
			Optional<PoolWorker> worker = this.choice.choose(step, index,
					candidates(step, none, open.and((candidate) -> hasTicket(step, candidate))), demand);
			if (worker.isEmpty()) {
				renew(step, candidates(step, none, open.and((candidate) -> isEligibleOrNew(step, candidate))), rank);
				return;
			}
			start(step, index, step.nextAttempt(index), worker.get());
		}
	}

	private void placeGang(ActiveStep step, int rank, GangDemand demand, RoomForGangs kept) {
		Optional<Map<Integer, PoolWorker>> ready = plan(step, demand, (worker) -> hasTicket(step, worker));
		if (ready.isPresent()) {
			int attempt = step.nextAttempt(0);
			ready.get().forEach((index, worker) -> start(step, index, attempt, worker));
			return;
		}
		Optional<Map<Integer, PoolWorker>> wanted = plan(step, demand, (worker) -> isEligibleOrNew(step, worker));
		if (wanted.isEmpty()) {
			possible(step).stream().filter((worker) -> isEligible(step, worker)).forEach(kept::keep);
			return;
		}
		renew(step, wanted.get().values().stream().distinct().toList(), rank);
		hold(step, wanted.get());
	}

	// On one rack if that matters and fits, else anywhere.
	private Optional<Map<Integer, PoolWorker>> plan(ActiveStep step, GangDemand demand, Predicate<PoolWorker> usable) {
		if (step.spec().rackSensitive()) {
			for (String rack : this.pool.all().stream().map((worker) -> worker.info().rack()).distinct().toList()) {
				Optional<Map<Integer, PoolWorker>> plan = planIn(step, demand,
						usable.and((worker) -> worker.info().rack().equals(rack)));
				if (plan.isPresent()) {
					return plan;
				}
			}
		}
		return planIn(step, demand, usable);
	}

	private Optional<Map<Integer, PoolWorker>> planIn(ActiveStep step, GangDemand demand,
			Predicate<PoolWorker> usable) {
		Map<Integer, PoolWorker> plan = new LinkedHashMap<>();
		Map<String, Integer> planned = new HashMap<>();
		for (int index : waiting(step)) {
			Optional<PoolWorker> worker = this.choice.choose(step, index, candidates(step, planned, usable), demand);
			if (worker.isEmpty()) {
				return Optional.empty();
			}
			plan.put(index, worker.get());
			planned.merge(worker.get().id(), 1, Integer::sum);
		}
		return Optional.of(plan);
	}

	private void hold(ActiveStep step, Map<Integer, PoolWorker> plan) {
		double millis = policy(step).eligibility().costMillis(plan.size()) + HOLD_MARGIN_MILLIS;
		long until = this.clock.nanos() + TimeUnit.MILLISECONDS.toNanos((long) millis);
		Map<PoolWorker, Integer> counts = new HashMap<>();
		plan.values().forEach((worker) -> counts.merge(worker, 1, Integer::sum));
		counts.forEach((worker, count) -> worker.hold(step.key(), step.spec().committedSize().times(count), until));
	}

	private List<PoolWorker> candidates(ActiveStep step, Map<String, Integer> planned, Predicate<PoolWorker> usable) {
		long now = this.clock.nanos();
		Resources size = step.spec().committedSize();
		List<PoolWorker> fitting = new ArrayList<>();
		for (PoolWorker worker : this.pool.all()) {
			int more = planned.getOrDefault(worker.id(), 0) + 1;
			boolean fits = matches(step, worker) && worker.accepts(size.times(more), now);
			if (fits && isWithinLimit(step, worker, more) && usable.test(worker)) {
				fitting.add(worker);
			}
		}
		return fitting;
	}

	private static boolean isWithinLimit(ActiveStep step, PoolWorker worker, int more) {
		int limit = step.spec().maximumPerWorker();
		return limit == 0 || worker.countOf(step.key()) + more <= limit;
	}

	private boolean matches(ActiveStep step, PoolWorker worker) {
		String label = step.spec().requiredLabel();
		return worker.info().service().equals(policy(step).service())
				&& (label.isEmpty() || worker.info().labels().contains(label));
	}

	private QueuePolicy policy(ActiveStep step) {
		QueuePolicy accepted = step.job().submission().policy();
		return this.policies.getOrDefault(accepted.queue(), accepted);
	}

	private boolean isEligible(ActiveStep step, PoolWorker worker) {
		return !policy(step).needsEligibility() || this.eligibility.isAllowed(step.key(), worker.id());
	}

	private boolean isEligibleOrNew(ActiveStep step, PoolWorker worker) {
		return isEligible(step, worker) || !this.eligibility.wasAsked(step.key(), worker.id());
	}

	private boolean hasTicket(ActiveStep step, PoolWorker worker) {
		return !policy(step).needsEligibility() || this.eligibility.ticket(step.key(), worker.id()).isPresent();
	}

	private void start(ActiveStep step, int index, int attempt, PoolWorker worker) {
		String ticket = this.eligibility.ticket(step.key(), worker.id()).orElse("");
		this.runs.start(step, index, attempt, worker, ticket);
	}

	private void renew(ActiveStep step, List<PoolWorker> workers, int rank) {
		if (policy(step).needsEligibility()) {
			ask(step, workers, rank);
		}
	}

	private List<PoolWorker> possible(ActiveStep step) {
		return this.pool.all()
			.stream()
			.filter((worker) -> worker.isListed() && !worker.isLost() && !worker.info().draining())
			.filter((worker) -> matches(step, worker))
			.filter((worker) -> worker.info().capacity().covers(step.spec().committedSize()))
			.toList();
	}

	private void ask(ActiveStep step, List<PoolWorker> workers, int rank) {
		EligibilityTimes times = Objects.requireNonNull(policy(step).eligibility());
		this.eligibility.ask(step.key(), times, workers.stream().map(PoolWorker::id).toList(), rank);
	}

	// Steps that are asked about ahead, because the one before them may end soon.
	private List<ActiveStep> followers(ActiveStep step) {
		List<Run> alive = step.aliveRuns();
		if (alive.isEmpty() || !waiting(step).isEmpty() || !policy(step).needsEligibility()) {
			return List.of();
		}
		double share = ASK_AHEAD_SHARE * step.spec().estimateMillis();
		long now = this.clock.nanos();
		boolean isEarly = alive.stream()
			.anyMatch((run) -> TimeUnit.NANOSECONDS.toMillis(now - run.orderedNanos()) < share);
		if (isEarly) {
			return List.of();
		}
		List<ActiveStep> followers = new ArrayList<>();
		List<StepSpec> steps = step.job().submission().steps();
		for (int i = step.key().step() + 1; i < steps.size(); i++) {
			StepKey next = new StepKey(step.key().job(), step.key().occurrence(), i);
			if (steps.get(i).dependsOn().contains(step.key().step()) && !this.eligibility.isAnswered(next)) {
				followers.add(new ActiveStep(next, step.job(), 0));
			}
		}
		return followers;
	}

}
