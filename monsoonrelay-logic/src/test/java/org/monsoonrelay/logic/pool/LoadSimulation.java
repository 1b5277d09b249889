package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.ToDoubleBiFunction;

import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.submission.JobStates;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.QueueConfiguration;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;
import org.monsoonrelay.model.submission.Timetable;
import org.monsoonrelay.model.submission.WorkerService;

/**
 * Simulates a load of jobs on a real pool owner with given placement rules, in virtual
 * time, and records how the jobs were served. Failures are not simulated. Not
 * thread-safe.
 */
final class LoadSimulation {

	private static final long TICKET_MILLIS = 2500;

	private static final long WARM_UP_MILLIS = 500;

	private static final long TIME_STEP_MILLIS = 20;

	private static final long DRAIN_MILLIS = 25_000;

	private static final double MAX_DURATION_SHARE = 3;

	private static final long SAMPLE_INTERVAL_MILLIS = 100;

	/**
	 * A job counts as starved if it makes no progress for this long while workers are
	 * free.
	 */
	private static final long STARVATION_MILLIS = 3000;

	private final VirtualTime time = new VirtualTime();

	private final InMemoryTable table = new InMemoryTable(this.time);

	private final Map<TaskKey, Long> runMillis = new HashMap<>();

	private final Map<StepKey, Resources> sizes = new HashMap<>();

	private final SimulatedWorkers workers = new SimulatedWorkers(this.time, this.runMillis::get);

	private final Map<String, Long> hostAvailableMillis = new HashMap<>();

	private final Map<String, double[]> calls = new TreeMap<>();

	private final List<PoolDecision.PoolLoad> loads = new ArrayList<>();

	private final Map<String, SimulatedJob> jobs = new TreeMap<>();

	private final List<String> placements = new ArrayList<>();

	private final JobStates states = new JobStates(new UnreadableRows(DecisionLog.NONE), System::nanoTime);

	private final Random random;

	private final List<LoadClass> classes;

	private final Cell cell;

	LoadSimulation(long seed, Cell cell, List<LoadClass> classes, PlacementRules rules) {
		this(seed, cell, classes, (clock) -> rules);
	}

	LoadSimulation(long seed, Cell cell, List<LoadClass> classes, Function<PoolClock, PlacementRules> rules) {
		this.random = new Random(seed);
		this.cell = cell;
		this.classes = classes;
		for (int i = 0; i < cell.workers(); i++) {
			this.workers.add("w" + i, cell.capacity());
		}
		this.workers.onStart((worker, task) -> this.placements.add(task + " on " + worker.id()));
		startOwner(rules.apply(this.time.clock()));
	}

	/**
	 * Sets how many times as long runs take on a worker. To be called before the
	 * simulation runs.
	 * @param factor returns the factor for a worker's id and a task that starts there
	 * @return this simulation
	 */
	LoadSimulation withSlowness(ToDoubleBiFunction<String, TaskKey> factor) {
		this.workers.setSlowness(factor);
		return this;
	}

	/**
	 * Returns which task was started on which worker.
	 * @return the starts in their order
	 */
	List<String> placements() {
		return List.copyOf(this.placements);
	}

	private void startOwner(PlacementRules rules) {
		PoolDependencies ports = new PoolDependencies(this.table.client(), this.workers.client(), this::requestTickets,
				this.time, this.time.clock(), this::recordDecision, new UnreadableRows(DecisionLog.NONE));
		JobTableReplica intake = new JobTableReplica(ports.table(), this.time, ports.unreadable(), ports.clock());
		new OwnerElection(ports, new HostRecord("host", "domain", "a:1", "holder", 1, false), (taken) -> {
			PoolOwner owner = new PoolOwner(ports, intake, taken, new Peers(), rules, (reason) -> {
			});
			owner.configure(new QueueConfiguration(1, List.of(), List.of(new WorkerService("salon", false))));
			owner.updateHosts(
					java.util.stream.IntStream.range(0, this.cell.hosts()).mapToObj((host) -> "h" + host).toList());
			owner.start();
			owner.updateWorkers(this.workers.listedWorkers());
		}, () -> true).start();
		this.time.runFor(WARM_UP_MILLIS);
	}

	private void recordDecision(Decision decision) {
		if (decision instanceof PoolDecision.PoolLoad load) {
			this.loads.add(load);
		}
	}

	// The service answers one call per host at a time. Which workers are eligible is
	// derived from the step's and the worker's names.
	private CompletableFuture<Map<String, String>> requestTickets(String host, StepKey step, List<String> queried,
			Duration timeout) {
		LoadClass loadClass = this.jobs.get(step.job()).loadClass();
		long cost = (long) (loadClass.decideMillis() + loadClass.perWorkerMillis() * queried.size());
		long freeMillis = Math.max(this.time.millis(), this.hostAvailableMillis.getOrDefault(host, 0L)) + cost;
		this.hostAvailableMillis.put(host, freeMillis);
		double[] callStats = this.calls.computeIfAbsent(loadClass.name(), (name) -> new double[2]);
		callStats[0]++;
		callStats[1] += cost;
		Map<String, String> tickets = new HashMap<>();
		for (String worker : queried) {
			double sample = new Random((step + worker).hashCode() * 2_654_435_761L).nextDouble();
			if (sample < loadClass.eligibleShare()) {
				tickets.put(worker, this.workers.ticket(worker));
			}
		}
		CompletableFuture<Map<String, String>> answer = new CompletableFuture<>();
		this.time.schedule((Runnable) () -> answer.complete(tickets), freeMillis - this.time.millis(),
				TimeUnit.MILLISECONDS);
		return answer;
	}

	/**
	 * Runs the simulation until the jobs that arrived have had time to end.
	 * @param millis how long jobs arrive
	 * @return how the jobs were served
	 */
	Result run(long millis) {
		this.time.scheduleAtFixedRate(this::sample, 0, SAMPLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		for (long now = 0; now < millis; now += TIME_STEP_MILLIS) {
			for (LoadClass loadClass : this.classes) {
				double expected = loadClass.arrivalRateAt(now) * TIME_STEP_MILLIS / TimeUnit.SECONDS.toMillis(1);
				for (double rest = expected; rest > 0; rest--) {
					if (this.random.nextDouble() < rest) {
						submit(loadClass);
					}
				}
			}
			this.time.runFor(TIME_STEP_MILLIS);
		}
		this.time.runFor(DRAIN_MILLIS);
		return result();
	}

	private void sample() {
		long used = 0;
		Set<String> running = new HashSet<>();
		for (TaskKey task : this.workers.runningTasks()) {
			used += this.sizes.get(task.stepKey()).processors();
			running.add(task.job());
		}
		boolean isHalfFree = 2 * used < (long) this.cell.workers() * this.cell.capacity().processors();
		this.jobs.forEach((id, job) -> job.recordSample(isHalfFree && !running.contains(id)));
	}

	private void submit(LoadClass loadClass) {
		String id = "%016x".formatted(this.random.nextLong());
		int count = (this.random.nextDouble() < loadClass.steps() - 1) ? 2 : 1;
		List<StepSpec> steps = new ArrayList<>();
		double chainMillis = 0;
		double work = 0;
		for (int step = 0; step < count; step++) {
			int width = Math.max(1, (int) Math.round(loadClass.width().sample(this.random)));
			long taskMillis = Math.max(50, Math.round(loadClass.runMillis().sample(this.random)));
			Resources size = new Resources((int) Math.max(100, loadClass.processors().sample(this.random)),
					Math.max(64, Math.round(loadClass.memory().sample(this.random))), 0);
			double estimateFactor = 1 + loadClass.estimateError() * (2 * this.random.nextDouble() - 1);
			steps.add(new StepSpec(width, size, Math.max(50, Math.round(taskMillis * estimateFactor)),
					(step > 0) ? List.of(step - 1) : List.of(), this.random.nextDouble() < loadClass.gangShare(), false,
					"", "", 0, false, false, false, false));
			this.sizes.put(new StepKey(id, 0, step), size);
			for (int i = 0; i < width; i++) {
				this.runMillis.put(new TaskKey(id, 0, step, i), taskMillis);
			}
			chainMillis += taskMillis;
			work += (double) width * taskMillis * size.processors();
		}
		long now = this.time.millis();
		QueuePolicy policy = new QueuePolicy(loadClass.name(), "salon", this.classes.indexOf(loadClass), 3,
				loadClass.slackFactor(), loadClass.targetMillis(),
				new EligibilityTimes(loadClass.decideMillis(), loadClass.perWorkerMillis(), TICKET_MILLIS));
		Submission submission = new Submission(id, policy, "text", steps, Timetable.AT_ONCE, now);
		this.jobs.put(id, new SimulatedJob(loadClass, now,
				(long) (loadClass.slackFactor() * chainMillis) + loadClass.targetMillis(), work));
		this.table.client()
			.commit(PartitionWrite.to(JobTables.partition(id)).put(JobTables.JOBS, id, Json.write(submission)));
	}

	private Result result() {
		Map<String, double[]> sums = new TreeMap<>();
		for (LoadClass loadClass : this.classes) {
			List<SimulatedJob> classJobs = this.jobs.values()
				.stream()
				.filter((job) -> job.loadClass() == loadClass)
				.toList();
			double mean = classJobs.stream().mapToDouble(SimulatedJob::work).average().orElse(1);
			double[] sum = sums.computeIfAbsent(loadClass.name(), (name) -> new double[3]);
			sum[2] = classJobs.stream().mapToDouble(SimulatedJob::durationShare).average().orElse(0);
			for (SimulatedJob job : classJobs) {
				double worth = loadClass.value() * Math.min(4, 0.3 + 0.7 * job.work() / mean);
				sum[0] += worth * job.earnedShare();
				sum[1] += worth;
			}
		}
		List<String> starved = new ArrayList<>();
		this.jobs.forEach((id, job) -> {
			if (job.longestStallMillis >= STARVATION_MILLIS) {
				starved.add(job.loadClass().name() + " " + id);
			}
		});
		return new Result(sums, starved, this.workers.violations(), this.calls, this.loads);
	}

	/**
	 * The simulated cell.
	 *
	 * @param workers number of workers
	 * @param hosts number of hosts that make eligibility calls
	 * @param capacity capacity of each worker
	 */
	record Cell(int workers, int hosts, Resources capacity) {

	}

	/**
	 * How the jobs were served.
	 *
	 * @param sums by class: earned value, total value, and the mean duration of its jobs
	 * as a share of the allowed time
	 * @param starved jobs that made no progress for three seconds while more than half of
	 * the workers' processors were free
	 * @param faults violations of placement rules
	 * @param calls by class: number of eligibility calls, and the host time they took,
	 * milliseconds
	 * @param loads the owner's view of the pool for each second
	 */
	record Result(Map<String, double[]> sums, List<String> starved, List<String> faults, Map<String, double[]> calls,
			List<PoolDecision.PoolLoad> loads) {

		double earnedShare() {
			double earned = this.sums.values().stream().mapToDouble((sum) -> sum[0]).sum();
			return earned / this.sums.values().stream().mapToDouble((sum) -> sum[1]).sum();
		}

		double meanDurationShare(String name) {
			return this.sums.get(name)[2];
		}

		double earnedShare(String name) {
			return this.sums.get(name)[0] / this.sums.get(name)[1];
		}

	}

	private static final class SimulatedJob {

		private final LoadClass loadClass;

		private final long startMillis;

		private final long allowedMillis;

		private final double work;

		private long durationMillis = Long.MAX_VALUE;

		private long stalledMillis;

		private long longestStallMillis;

		SimulatedJob(LoadClass loadClass, long startMillis, long allowedMillis, double work) {
			this.loadClass = loadClass;
			this.startMillis = startMillis;
			this.allowedMillis = allowedMillis;
			this.work = work;
		}

		LoadClass loadClass() {
			return this.loadClass;
		}

		double work() {
			return this.work;
		}

		void recordSample(boolean isStalled) {
			boolean isOver = this.durationMillis != Long.MAX_VALUE;
			this.stalledMillis = (isStalled && !isOver) ? this.stalledMillis + SAMPLE_INTERVAL_MILLIS : 0;
			this.longestStallMillis = Math.max(this.longestStallMillis, this.stalledMillis);
		}

		double durationShare() {
			return Math.min(MAX_DURATION_SHARE, (double) this.durationMillis / this.allowedMillis);
		}

		double earnedShare() {
			if (this.durationMillis <= this.allowedMillis) {
				return 1;
			}
			return (this.durationMillis <= MAX_DURATION_SHARE * this.allowedMillis) ? LoadClass.LATE_VALUE_SHARE : 0;
		}

	}

	private final class Peers implements PeerNotifier {

		@Override
		public void sendHeartbeat(long epoch, long version) {
		}

		@Override
		public void publishStates(long epoch, Map<String, SubmissionState> states,
				java.util.Optional<QueueCount> pending) {
			LoadSimulation load = LoadSimulation.this;
			load.states.applyOwnerUpdate(states, pending);
			states.forEach((job, state) -> {
				if (state == SubmissionState.COMPLETED) {
					SimulatedJob classJobs = load.jobs.get(job);
					classJobs.durationMillis = load.time.millis() - classJobs.startMillis;
				}
			});
		}

		@Override
		public void announceRelease(OwnerRecord record, long version) {
		}

		@Override
		public void requestTakeOver(long version) {
		}

	}

}
