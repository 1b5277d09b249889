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
	private static final double ASK_AHEAD_SHARE = 0.5;

	/**
	 * How long a step that found no room is offered only workers that changed since,
	 * milliseconds. Bounds what a change costs that no worker shows, as the end of a
	 * pause of starts there. Searching all workers for all steps in each turn would take
	 * most of an owner's processor time.
	 */
	private static final long SEARCH_ALL_MILLIS = 200;

	/**
	 * Share of the pool in use beyond which a step with time to spare waits for room on
	 * the workers known as allowed instead of asking about others.
	 */
	private static final double BUSY_SHARE = 0.6;

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

	private final GangPlanner gangs;

	private final long spareMillis;

	private final double reservedShare;

	private Map<String, QueuePolicy> policies = Map.of();

	private boolean accounted;

	private boolean busy;

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
		this.gangs = new GangPlanner(rules.choice());
		this.spareMillis = rules.spareMillis();
		this.reservedShare = rules.reservedShare();
	}

	void configure(QueueConfiguration configuration) {
		this.policies = configuration.policies();
		this.eligibility.forgetWishes();
		this.jobs.openSteps().forEach(ActiveStep::searchAnew);
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
		this.runs.doubtSilent();
		this.jobs.updateSteps(nowMillis);
		this.busy = this.pool.usedShare(this.clock.nanos()) > BUSY_SHARE;
		List<WaitingStep> steps = new ArrayList<>();
		Map<WaitingStep, StepTurn> waiting = new HashMap<>();
		for (ActiveStep step : this.jobs.openSteps()) {
			List<Integer> tasks = waiting(step);
			if (tasks.isEmpty()) {
				followers(step).stream().map(ActiveStep::view).forEach(steps::add);
				continue;
			}
			// What has to wait for workers of an earlier owner is asked about meanwhile.
			steps.add(step.view());
			if (mayStart(step)) {
				waiting.put(step.view(), turn(step, tasks));
			}
		}
		steps.sort(this.order.at(nowMillis));
		GangDemand demand = demand(waiting.values());
		RoomForGangs kept = new RoomForGangs(this.spareMillis, (int) (this.reservedShare * this.pool.all().size()));
		for (int rank = 0; rank < steps.size(); rank++) {
			WaitingStep next = steps.get(rank);
			StepTurn turn = waiting.get(next);
			if (turn == null) {
				askAboutAll(turn(next.step(), List.of()), rank);
			}
			else {
				place(next, turn, rank, demand, kept);
			}
		}
	}

	private StepTurn turn(ActiveStep step, List<Integer> tasks) {
		QueuePolicy accepted = step.job().submission().policy();
		QueuePolicy policy = this.policies.getOrDefault(accepted.queue(), accepted);
		return new StepTurn(step, tasks, policy, this.eligibility.of(step.key()), this.clock.nanos());
	}

	// A gang starts whole, so that it waits for each of its tasks.
	private List<Integer> waiting(ActiveStep step) {
		List<Integer> open = step.waiting();
		if (open.isEmpty() || this.pool.isSeen()) {
			return open;
		}
		List<Integer> sure = open.stream().filter((index) -> !this.pool.mayRunUnseen(step.key().task(index))).toList();
		return (step.spec().gang() && sure.size() < open.size()) ? List.of() : sure;
	}

	private boolean mayStart(ActiveStep step) {
		String job = step.job().id();
		boolean isUnsure = !this.accounted && this.jobs.isInherited(job);
		return this.term.mayOrder() && !isUnsure && !this.jobs.isHeld(job);
	}

	private GangDemand demand(Collection<StepTurn> waiting) {
		GangDemand demand = new GangDemand();
		for (StepTurn turn : waiting) {
			if (turn.step().spec().gang()) {
				known(turn).forEach((worker) -> demand.add(worker.id()));
			}
		}
		return demand;
	}

	private void place(WaitingStep next, StepTurn turn, int rank, GangDemand demand, RoomForGangs kept) {
		if (turn.policy().needsEligibility() && !turn.eligibility().isAnswered()) {
			askAboutAll(turn, rank);
			return;
		}
		if (turn.step().spec().gang()) {
			placeGang(next, turn, rank, demand, kept);
		}
		else {
			placeEach(turn, rank, demand, kept.openTo(next, this.clock.millis()));
		}
	}

	private void placeEach(StepTurn turn, int rank, GangDemand demand, Predicate<PoolWorker> open) {
		ActiveStep step = turn.step();
		boolean isDue = turn.nowNanos() - step.searchedNanos() > TimeUnit.MILLISECONDS.toNanos(SEARCH_ALL_MILLIS);
		boolean all = isDue || step.searchedChanges() < 0;
		long since = all ? -1 : step.searchedChanges();
		long changes = this.pool.changes();
		List<PoolWorker> fitting = fitting(turn, open.and((worker) -> worker.changed() > since));
		List<PoolWorker> usable = new ArrayList<>(fitting.stream().filter(turn::hasTicket).toList());
		for (int index : turn.tasks()) {
			Optional<PoolWorker> worker = this.choice.choose(step, index, usable, demand);
			if (worker.isEmpty()) {
				step.searched(changes, all ? turn.nowNanos() : step.searchedNanos());
				if (all || !fitting.isEmpty()) {
					ask(turn, rank, () -> QuestionDraft.naming(again(later(turn))));
				}
				return;
			}
			start(turn, index, step.nextAttempt(index), worker.get());
			if (!turn.fits(worker.get(), 1)) {
				usable.remove(worker.get());
			}
		}
	}

	private List<PoolWorker> again(StepTurn turn) {
		if (turn.tasks().isEmpty()) {
			return List.of();
		}
		List<PoolWorker> withRoom = fitting(turn, (worker) -> !turn.hasTicket(worker));
		return withRoom.isEmpty() ? others(turn) : WorkersToAsk.again(turn, known(turn), withRoom);
	}

	private List<PoolWorker> others(StepTurn turn) {
		if (turn.tasks().isEmpty()) {
			return List.of();
		}
		List<PoolWorker> unasked = possible(turn).stream()
			.filter((worker) -> !turn.eligibility().wasAsked(worker.id()))
			.toList();
		return WorkersToAsk.others(turn, known(turn), unasked, canWait(turn));
	}

	private boolean canWait(StepTurn turn) {
		StepSpec spec = turn.step().spec();
		boolean hasTime = turn.step().view().latestStartMillis() - this.clock.millis() > this.spareMillis;
		return hasTime && !spec.gang() && !spec.longRunning() && this.busy;
	}

	// The same step in the turn in which its question goes out.
	private StepTurn later(StepTurn turn) {
		return turn(turn.step(), turn.step().waiting());
	}

	// Looking at these alone, a third of a large pool, takes a third of the time.
	private Collection<PoolWorker> known(StepTurn turn) {
		if (!turn.policy().needsEligibility()) {
			return this.pool.all();
		}
		List<PoolWorker> known = new ArrayList<>();
		for (String id : turn.eligibility().allowed()) {
			this.pool.worker(id).filter(PoolWorker::isUsable).ifPresent(known::add);
		}
		return known;
	}

	private List<PoolWorker> fitting(StepTurn turn, Predicate<PoolWorker> usable) {
		List<PoolWorker> fitting = new ArrayList<>();
		for (PoolWorker worker : known(turn)) {
			if (usable.test(worker) && turn.matches(worker) && turn.fits(worker, 1)) {
				fitting.add(worker);
			}
		}
		return fitting;
	}

	private void placeGang(WaitingStep next, StepTurn turn, int rank, GangDemand demand, RoomForGangs kept) {
		ActiveStep step = turn.step();
		if (step.isHolding()) {
			if (this.eligibility.isAsked(step.key())) {
				return;
			}
			step.holding(false);
			this.pool.all().forEach((worker) -> worker.unhold(step.key()));
		}
		List<PoolWorker> fitting = fitting(turn, kept::isOpenToGangs);
		Optional<Map<Integer, PoolWorker>> ready = this.gangs.plan(turn,
				fitting.stream().filter(turn::hasTicket).toList(), demand);
		if (ready.isPresent()) {
			int attempt = step.nextAttempt(0);
			ready.get().forEach((index, worker) -> start(turn, index, attempt, worker));
			return;
		}
		Optional<Map<Integer, PoolWorker>> wanted = this.gangs.plan(turn, fitting, demand);
		if (wanted.isPresent()) {
			wanted.get().values().forEach(kept::keep);
			ask(turn, rank, () -> renewal(later(turn), demand, kept));
			return;
		}
		if (WorkersToAsk.couldHold(turn, known(turn))) {
			known(turn).forEach(kept::keep);
			List<PoolWorker> reserved = reserve(next, turn, kept);
			if (!reserved.stream().allMatch(turn::hasTicket)) {
				// The tickets are there when the room is.
				ask(turn, rank, () -> QuestionDraft.naming(reserved));
				return;
			}
		}
		if (turn.nowNanos() - step.searchedNanos() > TimeUnit.MILLISECONDS.toNanos(SEARCH_ALL_MILLIS)) {
			step.searched(this.pool.changes(), turn.nowNanos());
			ask(turn, rank, () -> QuestionDraft.naming(others(later(turn))));
		}
	}

	private List<PoolWorker> reserve(WaitingStep next, StepTurn turn, RoomForGangs kept) {
		long spare = next.latestStartMillis() - this.clock.millis();
		return (spare < 0) ? List.of() : kept.reserve(turn, known(turn), spare - questionMillis(turn),
				(worker) -> worker.emptyInMillis(turn.nowNanos()));
	}

	private static long questionMillis(StepTurn turn) {
		return turn.policy().needsEligibility() ? (long) turn.policy().eligibility().costMillis(turn.tasks().size())
				: 0;
	}

	// Room is kept once the question goes out, and on workers known as allowed: kept for
	// questions that wait it would grow to most of a pool, with steps starving beside.
	private QuestionDraft renewal(StepTurn turn, GangDemand demand, RoomForGangs kept) {
		if (turn.tasks().isEmpty() || !turn.policy().needsEligibility()) {
			return QuestionDraft.NONE;
		}
		return this.gangs.plan(turn, fitting(turn, kept::isOpenToGangs), demand)
			.map((plan) -> QuestionDraft.naming(plan.values().stream().distinct().toList(), () -> hold(turn, plan)))
			.orElse(QuestionDraft.NONE);
	}

	private void hold(StepTurn turn, Map<Integer, PoolWorker> plan) {
		Map<PoolWorker, Integer> counts = new HashMap<>();
		plan.values().forEach((worker) -> counts.merge(worker, 1, Integer::sum));
		double millis = turn.policy().eligibility().costMillis(counts.size()) + HOLD_MARGIN_MILLIS;
		long until = this.clock.nanos() + TimeUnit.MILLISECONDS.toNanos((long) millis);
		ActiveStep step = turn.step();
		step.holding(true);
		counts.forEach((worker, count) -> worker.hold(step.key(), step.spec().committedSize().times(count), until));
	}

	private void start(StepTurn turn, int index, int attempt, PoolWorker worker) {
		this.runs.start(turn.step(), index, attempt, worker, turn.ticket(worker));
	}

	private void askAboutAll(StepTurn turn, int rank) {
		boolean isWanted = turn.policy().needsEligibility() && !turn.eligibility().isAnswered();
		if (isWanted && this.eligibility.mayAsk(turn.step().key(), rank)) {
			ask(turn, rank, () -> QuestionDraft.naming(WorkersToAsk.choose(turn, possible(turn))));
		}
	}

	private void ask(StepTurn turn, int rank, Supplier<QuestionDraft> draft) {
		if (turn.policy().needsEligibility()) {
			EligibilityTimes times = Objects.requireNonNull(turn.policy().eligibility());
			this.eligibility.ask(turn.step().key(), times, draft, rank);
		}
	}

	private List<PoolWorker> possible(StepTurn turn) {
		Resources size = turn.step().spec().committedSize();
		return this.pool.all()
			.stream()
			.filter((worker) -> worker.isListed() && !worker.isLost() && !worker.info().draining())
			.filter((worker) -> turn.matches(worker) && worker.info().capacity().covers(size))
			.toList();
	}

	// Steps that are asked about ahead, because the one before them may end soon.
	private List<ActiveStep> followers(ActiveStep step) {
		if (!step.isFollowed() || step.isIdle()) {
			return List.of();
		}
		double share = ASK_AHEAD_SHARE * step.spec().estimateMillis();
		long now = this.clock.nanos();
		List<Run> alive = step.aliveRuns();
		boolean isEarly = alive.stream()
			.anyMatch((run) -> TimeUnit.NANOSECONDS.toMillis(now - run.orderedNanos()) < share);
		if (isEarly || !turn(step, List.of()).policy().needsEligibility()) {
			return List.of();
		}
		List<ActiveStep> followers = new ArrayList<>();
		List<StepSpec> steps = step.job().submission().steps();
		for (int i = step.key().step() + 1; i < steps.size(); i++) {
			StepKey next = new StepKey(step.key().job(), step.key().occurrence(), i);
			if (steps.get(i).dependsOn().contains(step.key().step()) && !this.eligibility.of(next).isAnswered()) {
				followers.add(new ActiveStep(next, step.job(), 0));
			}
		}
		return followers;
	}

}
