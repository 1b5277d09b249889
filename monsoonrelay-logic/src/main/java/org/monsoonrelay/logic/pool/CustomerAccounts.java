package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.monsoonrelay.logic.shares.CustomerLedger;
import org.monsoonrelay.logic.shares.FairShares;
import org.monsoonrelay.logic.shares.ResourceTotal;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.customer.Customer;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.TaskKey;

/**
 * Keeps the ledger of customers up to date with the runs of the pool. Invariants: a run
 * is charged for as long as it occupies a worker, also while it is being stopped; what an
 * earlier owner may have started, or a worker may still start late, counts as running
 * until it is known not to run. Not thread-safe: confined to the control thread.
 */
final class CustomerAccounts implements RunAccounting {

	private final JobRegistry jobs;

	private final WorkerPool pool;

	private final CustomerLedger ledger = new CustomerLedger();

	private final Map<Run, Charge> charges = new IdentityHashMap<>();

	// Runs of jobs that are not loaded, by job.
	private final Map<String, List<Run>> unknown = new HashMap<>();

	private Set<String> yielding = Set.of();

	CustomerAccounts(JobRegistry jobs, WorkerPool pool) {
		this.jobs = jobs;
		this.pool = pool;
	}

	void configure(List<Customer> customers) {
		this.ledger.configure(customers);
	}

	@Override
	public void added(Run run) {
		Optional<Charge> charge = chargeOf(run.task());
		if (charge.isEmpty()) {
			this.unknown.computeIfAbsent(run.task().job(), (job) -> new ArrayList<>()).add(run);
			return;
		}
		if (!charge.get().customer().isEmpty()) {
			this.charges.put(run, charge.get());
			this.ledger.charge(charge.get().customer(), charge.get().size());
		}
	}

	@Override
	public void removed(Run run) {
		Charge charge = this.charges.remove(run);
		if (charge != null) {
			this.ledger.discharge(charge.customer(), charge.size());
			return;
		}
		this.unknown.computeIfPresent(run.task().job(), (job, runs) -> {
			runs.removeIf((other) -> other == run);
			return runs.isEmpty() ? null : runs;
		});
	}

	/**
	 * Charges the runs of a job that were reported before it was loaded.
	 * @param job the job's id
	 */
	void onJobLoaded(String job) {
		List<Run> runs = this.unknown.remove(job);
		if (runs != null) {
			runs.forEach(this::added);
		}
	}

	private Optional<Charge> chargeOf(TaskKey task) {
		return this.jobs.job(task.job()).map((job) -> {
			Submission submission = job.submission();
			boolean hasStep = task.step() < submission.steps().size();
			Resources size = hasStep ? submission.steps().get(task.step()).size() : Resources.NONE;
			return new Charge(submission.customer(), size);
		});
	}

	/**
	 * Updates what may run unseen. To be called before each placement pass.
	 */
	void beginPass() {
		if (this.ledger.hasCustomers()) {
			this.ledger.setPossible(possibleRuns());
		}
	}

	private Map<String, ResourceTotal> possibleRuns() {
		Set<TaskKey> named = new HashSet<>(this.jobs.unresolvedStarts().tasks());
		this.pool.inherited().unconfirmedTasks().values().forEach(named::addAll);
		Map<String, ResourceTotal> possible = new HashMap<>();
		named.stream().filter((task) -> !hasRun(task)).forEach((task) -> addTo(possible, task));
		if (!this.pool.inherited().unreconciled().isEmpty()) {
			addInherited(possible, named);
		}
		return possible;
	}

	// No more can run unseen than the workers hold that have not reported.
	private void addInherited(Map<String, ResourceTotal> possible, Set<TaskKey> named) {
		Map<String, ResourceTotal> inherited = new HashMap<>();
		for (ActiveStep step : this.jobs.openSteps()) {
			if (!this.jobs.isInherited(step.job().id())) {
				continue;
			}
			for (int index : step.tasksWithoutRun()) {
				if (!named.contains(step.key().task(index))) {
					addTo(inherited, step.key().task(index));
				}
			}
		}
		ResourceTotal hidden = unreportedCapacity();
		inherited.forEach((customer, total) -> possible.merge(customer, total.atMost(hidden), ResourceTotal::plus));
	}

	// One that is not listed is taken to be as large as the largest in each resource.
	private ResourceTotal unreportedCapacity() {
		ResourceTotal total = ResourceTotal.NONE;
		Resources largest = Resources.NONE;
		int unlisted = 0;
		for (PoolWorker worker : this.pool.workers()) {
			Resources capacity = worker.info().capacity();
			largest = new Resources(Math.max(largest.processors(), capacity.processors()),
					Math.max(largest.memoryMiB(), capacity.memoryMiB()),
					Math.max(largest.accelerators(), capacity.accelerators()));
		}
		for (String id : this.pool.inherited().unreconciled()) {
			Optional<PoolWorker> worker = this.pool.worker(id);
			total = worker.isPresent() ? total.plus(worker.get().info().capacity(), 1) : total;
			unlisted += worker.isPresent() ? 0 : 1;
		}
		return total.plus(largest, unlisted);
	}

	private boolean hasRun(TaskKey task) {
		return this.jobs.step(task.stepKey())
			.filter((step) -> task.index() < step.spec().count() && step.hasRun(task.index()))
			.isPresent();
	}

	private void addTo(Map<String, ResourceTotal> totals, TaskKey task) {
		chargeOf(task).filter((charge) -> !charge.customer().isEmpty())
			.ifPresent((charge) -> totals.merge(charge.customer(), ResourceTotal.NONE.plus(charge.size(), 1),
					ResourceTotal::plus));
	}

	/**
	 * Moves the steps behind all others with which their customers would use more than
	 * their share of a pool with too little room. Long-running steps keep their place:
	 * they have no deadline that could be met later.
	 * @param entries the steps in queue order
	 * @param contexts the waiting tasks of those that may be started
	 * @param nowNanos the current monotonic time
	 * @return the steps in the order in which they are offered capacity
	 */
	List<QueueEntry> inFairOrder(List<QueueEntry> entries, Map<QueueEntry, PlacementContext> contexts, long nowNanos) {
		if (!this.ledger.hasCustomers()) {
			return entries;
		}
		ResourceTotal capacity = capacity(nowNanos);
		Map<String, Double> allowances = FairShares.allowances(this.ledger, waiting(contexts.values()), capacity);
		this.yielding = allowances.keySet();
		if (allowances.isEmpty()) {
			return entries;
		}
		Map<String, ResourceTotal> planned = new HashMap<>();
		List<QueueEntry> first = new ArrayList<>();
		List<QueueEntry> last = new ArrayList<>();
		for (QueueEntry entry : entries) {
			String customer = entry.step().job().submission().customer();
			Double allowed = allowances.get(customer);
			PlacementContext context = contexts.get(entry);
			if (allowed == null || context == null || entry.step().spec().longRunning()) {
				first.add(entry);
				continue;
			}
			ResourceTotal before = planned.computeIfAbsent(customer, this.ledger::usage);
			planned.put(customer, before.plus(entry.step().spec().size(), context.tasks().size()));
			((before.dominantShareOf(capacity) < allowed) ? first : last).add(entry);
		}
		first.addAll(last);
		return first;
	}

	private Map<String, ResourceTotal> waiting(Collection<PlacementContext> contexts) {
		Map<String, ResourceTotal> waiting = new HashMap<>();
		for (PlacementContext context : contexts) {
			ActiveStep step = context.step();
			if (mayStart(step, 1)) {
				waiting.merge(step.job().submission().customer(),
						ResourceTotal.NONE.plus(step.spec().size(), context.tasks().size()), ResourceTotal::plus);
			}
		}
		return waiting;
	}

	private ResourceTotal capacity(long nowNanos) {
		ResourceTotal total = ResourceTotal.NONE;
		for (PoolWorker worker : this.pool.workers()) {
			if (worker.isAcceptingWork(nowNanos)) {
				total = total.plus(worker.info().capacity(), 1);
			}
		}
		return total;
	}

	/**
	 * Returns whether tasks of a step may be started without exceeding the limit of its
	 * customer.
	 * @param step the step
	 * @param count number of tasks that are started together
	 * @return {@code true} if the limit is kept
	 */
	boolean mayStart(ActiveStep step, int count) {
		StepSpec spec = step.spec();
		return this.ledger.mayStart(step.job().submission().customer(), spec.size(), count);
	}

	/**
	 * Returns the customers that yielded to others in the last pass.
	 * @return their names
	 */
	Set<String> yielding() {
		return this.yielding;
	}

	private record Charge(String customer, Resources size) {

	}

}
