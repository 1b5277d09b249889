package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.Metric;
import org.monsoonrelay.logic.interference.InterferenceSettings;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.rows.ProgressRow;
import org.monsoonrelay.logic.submission.JobStates;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.logic.submission.QueueSummary;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.customer.Customer;
import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.QueueConfiguration;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.QueueRoute;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepRecord;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;
import org.monsoonrelay.model.submission.Timetable;
import org.monsoonrelay.model.submission.WorkerService;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A cell on virtual time: schedulers that share one table and some workers. Not
 * thread-safe.
 */
final class SimulatedCell {

	static final Resources TASK = new Resources(1000, 100, 0);

	static final Resources CAPACITY = new Resources(4000, 1000, 0);

	static final long RUN_MILLIS = 500;

	/**
	 * Time after its start at which a scheduler that owns nothing begins to read the
	 * jobs, milliseconds.
	 */
	static final long STANDBY_DELAY_MILLIS = 1500;

	/** Time until owners know that a process has started on a host, milliseconds. */
	private static final long REGISTRATION_MILLIS = 300;

	final VirtualTime time = new VirtualTime();

	final InMemoryTable table = new InMemoryTable(this.time);

	final SimulatedWorkers workers = new SimulatedWorkers(this.time, (task) -> this.runMillis.applyAsLong(task))
		.taskSize(TASK);

	final List<Scheduler> schedulers = new ArrayList<>();

	final List<Decision> decisions = new ArrayList<>();

	/** The decision logs of all processes. */
	final CollectedLogs logs = new CollectedLogs();

	final Map<Metric, List<Long>> measures = new EnumMap<>(Metric.class);

	final UnreadableRows unreadable = new UnreadableRows(this.decisions::add);

	/** The job states that a gateway knows from owners. */
	final JobStates gateway = new JobStates(this.unreadable, this.time.clock()::nanos);

	/** Gateways with copies of their own. */
	final List<SimulatedGateway> gateways = new ArrayList<>();

	private final InMemoryTable.Client callerTable = this.table.client();

	private Consumer<Map<String, SubmissionState>> toldStates = (states) -> {
	};

	private ToLongFunction<TaskKey> runMillis = (task) -> RUN_MILLIS;

	private List<Customer> customers = List.of();

	private long configurationVersion = 1;

	private int maxRowBytes = ProgressRow.DEFAULT_MAX_BYTES;

	private boolean needsEligibility;

	private double eligibleShare = 1;

	private long eligibilityMillis;

	private Optional<SimulatedEligibility> eligibilityService = Optional.empty();

	SimulatedCell withRunMillis(long millis) {
		return withRunMillis((task) -> millis);
	}

	SimulatedCell withRunMillis(ToLongFunction<TaskKey> millis) {
		this.runMillis = millis;
		return this;
	}

	SimulatedCell withWorkers(int count) {
		for (int i = 0; i < count; i++) {
			this.workers.add("w" + i, CAPACITY);
		}
		return this;
	}

	/**
	 * Sets the maximum size of a row, also of those that the table accepts.
	 * @param bytes the size, bytes
	 * @return this cell
	 */
	SimulatedCell withMaxRowBytes(int bytes) {
		this.maxRowBytes = bytes;
		this.table.rejectWrites((write) -> write.puts().stream().anyMatch((put) -> put.value().length() > bytes));
		return this;
	}

	/**
	 * Sets what is called with the states that owners tell other hosts.
	 * @param told called with the states by job
	 */
	void observeToldStates(Consumer<Map<String, SubmissionState>> told) {
		this.toldStates = told;
	}

	SimulatedCell withEligibility() {
		this.needsEligibility = true;
		return this;
	}

	/**
	 * Makes all jobs need eligibility.
	 * @param share share of the workers that may run a step
	 * @param millis duration of an eligibility request, milliseconds
	 * @return this cell
	 */
	SimulatedCell withEligibility(double share, long millis) {
		this.eligibleShare = share;
		this.eligibilityMillis = millis;
		return withEligibility();
	}

	/**
	 * Makes all jobs need eligibility, whose calls wait for those of the same host and
	 * whose tickets expire.
	 * @param share share of the workers that may run a step
	 * @param times duration of the calls and validity of the tickets
	 * @return this cell
	 */
	SimulatedCell withEligibility(double share, EligibilityTimes times) {
		this.eligibleShare = share;
		this.eligibilityService = Optional
			.of(new SimulatedEligibility(this.time, this.workers, this::isHostUp, share, times));
		return withEligibility();
	}

	private boolean isHostUp(String host) {
		return this.schedulers.stream()
			.anyMatch((scheduler) -> !scheduler.isKilled() && scheduler.self.host().equals(host));
	}

	/**
	 * Returns whether a worker may run a step, which follows from their names.
	 * @param step the step
	 * @param worker the worker's id
	 * @return {@code true} if it may
	 */
	boolean isEligible(StepKey step, String worker) {
		return SimulatedEligibility.isEligible(step, worker, this.eligibleShare);
	}

	private CompletableFuture<Map<String, String>> requestTickets(String host, StepKey step, List<String> ids,
			Duration timeout) {
		if (this.eligibilityService.isPresent()) {
			return this.eligibilityService.get().requestTickets(host, step, ids, timeout.toMillis());
		}
		Map<String, String> tickets = ids.stream()
			.filter((id) -> isEligible(step, id))
			.collect(Collectors.toMap((id) -> id, this.workers::ticket));
		if (this.eligibilityMillis == 0) {
			return CompletableFuture.completedFuture(tickets);
		}
		CompletableFuture<Map<String, String>> reply = new CompletableFuture<>();
		this.time.schedule((Runnable) () -> reply.complete(tickets), this.eligibilityMillis, TimeUnit.MILLISECONDS);
		return reply;
	}

	Scheduler addScheduler() {
		return addScheduler("first");
	}

	Scheduler addScheduler(String incarnation) {
		return addScheduler(incarnation, 1);
	}

	Scheduler addScheduler(String incarnation, double processors) {
		Scheduler scheduler = new Scheduler("s" + this.schedulers.size(), incarnation, processors);
		this.schedulers.add(scheduler);
		scheduler.election.start();
		return scheduler;
	}

	/**
	 * Starts a process on the host of one that has ended.
	 * @param former the process that has ended
	 * @return the new process
	 */
	Scheduler restart(Scheduler former) {
		Scheduler scheduler = new Scheduler(former.self.host(), "restart" + this.schedulers.size(),
				former.self.processors());
		this.schedulers.add(scheduler);
		scheduler.election.start();
		this.time.schedule(
				() -> this.schedulers
					.forEach((other) -> other.owner().ifPresent((owner) -> owner.hostRestarted(former.self.host()))),
				REGISTRATION_MILLIS, TimeUnit.MILLISECONDS);
		return scheduler;
	}

	/**
	 * Returns the process that owns the pool according to the table.
	 * @return the process, empty if it has ended
	 */
	Optional<Scheduler> recordedOwner() {
		String value = this.table.value(JobTables.OWNER, JobTables.POOL_PARTITION, JobTables.OWNER_KEY);
		String holder = value.isEmpty() ? "" : Json.read(value, OwnerRecord.class).holder();
		return this.schedulers.stream()
			.filter((scheduler) -> !scheduler.isKilled() && scheduler.self.incarnation().equals(holder))
			.findFirst();
	}

	Scheduler owner() {
		return this.schedulers.stream()
			.filter((scheduler) -> scheduler.owner().isPresent())
			.findFirst()
			.orElseThrow(() -> new AssertionError("no scheduler owns the pool"));
	}

	QueuePolicy policy(int attempts) {
		EligibilityTimes times = this.needsEligibility
				? this.eligibilityService.map(SimulatedEligibility::times).orElse(new EligibilityTimes(8, 0.1, 2000))
				: null;
		return new QueuePolicy("confirm", "salon", 0, attempts, 2.0, 1000, times);
	}

	static StepSpec step(int count, boolean gang, Integer... dependsOn) {
		return new StepSpec(count, TASK, RUN_MILLIS, List.of(dependsOn), gang, false, "", "", 0, false, false, false,
				false);
	}

	Submission submit(String id, StepSpec... steps) {
		return submit(id, 3, steps);
	}

	Submission submit(String id, int attempts, StepSpec... steps) {
		return submit(id, attempts, Timetable.AT_ONCE, steps);
	}

	/**
	 * Puts a configuration into force at all owners.
	 * @param next the customers
	 */
	void configure(List<Customer> next) {
		this.customers = next;
		this.configurationVersion++;
		this.schedulers.forEach((scheduler) -> scheduler.owner()
			.ifPresent((owner) -> scheduler.process.run(() -> owner.configure(configuration()))));
	}

	private QueueConfiguration configuration() {
		return new QueueConfiguration(this.configurationVersion, List.of(new QueueRoute("h", "/", 3000, policy(3))),
				List.of(new WorkerService("salon", false)), this.customers);
	}

	Submission submitFor(String customer, String id, StepSpec... steps) {
		return store(
				new Submission(id, policy(3), "text", List.of(steps), Timetable.AT_ONCE, this.time.millis(), customer));
	}

	Submission submit(String id, int attempts, Timetable timetable, StepSpec... steps) {
		return store(new Submission(id, policy(attempts), "text", List.of(steps), timetable, this.time.millis()));
	}

	private Submission store(Submission submission) {
		String id = submission.id();
		this.callerTable.commit(PartitionWrite.to(JobTables.partition(id))
			.onVersion(JobTables.JOBS, id, 0)
			.put(JobTables.JOBS, id, Json.write(submission)));
		return submission;
	}

	void cancel(String id) {
		this.callerTable
			.commit(PartitionWrite.to(JobTables.partition(id)).put(JobTables.JOBS, JobTables.cancelKey(id), "{}"));
	}

	/**
	 * Starts a scheduler that becomes the owner, and then a standby.
	 * @return the owner
	 */
	Scheduler startOwnerAndStandby() {
		Scheduler first = addScheduler();
		this.time.runFor(500);
		addScheduler();
		this.time.runFor(500);
		return first;
	}

	void assertCompleted(String... jobs) {
		for (String job : jobs) {
			assertThat(durableState(job)).as(job).isEqualTo(SubmissionState.COMPLETED);
		}
		assertThat(this.workers.violations()).isEmpty();
	}

	boolean hasOwner() {
		return this.schedulers.stream().anyMatch((scheduler) -> scheduler.owner().isPresent());
	}

	int pendingCount() {
		String value = this.table.value(JobTables.STATES, JobTables.POOL_PARTITION, JobTables.SUMMARY_KEY);
		return value.isEmpty() ? 0 : Json.read(value, QueueSummary.class).pending().getOrDefault("confirm", 0);
	}

	SubmissionState durableState(String id) {
		String value = this.table.value(JobTables.PROGRESS, JobTables.POOL_PARTITION, id);
		return value.isEmpty() ? SubmissionState.QUEUED : Json.read(value, ProgressRow.class).progress().state();
	}

	/**
	 * Returns how many steps of a job are complete, of those that depend on one another
	 * in their order.
	 * @param id the job's id
	 * @return the number of the first step that is not complete
	 */
	int completedSteps(String id) {
		String value = this.table.value(JobTables.PROGRESS, JobTables.POOL_PARTITION, id);
		Map<String, StepRecord> saved = value.isEmpty() ? Map.of()
				: Json.read(value, ProgressRow.class).progress().steps();
		List<StepSpec> steps = Json
			.read(this.table.value(JobTables.JOBS, JobTables.partition(id), id), Submission.class)
			.steps();
		int step = 0;
		while (step < steps.size() - 1 && saved.containsKey("0." + step)
				&& saved.get("0." + step).done().size() >= steps.get(step).completionCount()) {
			step++;
		}
		return step;
	}

	/** Records the decisions and measurements of one process. */
	private final class Log implements DecisionLog {

		private final String process;

		Log(String process) {
			this.process = process;
		}

		@Override
		public void write(Decision decision) {
			SimulatedCell.this.decisions.add(decision);
			SimulatedCell.this.logs.write(this.process, SimulatedCell.this.time.millis(), decision);
		}

		@Override
		public void recordMetric(Metric measure, long value) {
			SimulatedCell.this.measures.computeIfAbsent(measure, (kind) -> new ArrayList<>()).add(value);
		}

	}

	/** The scheduler process of one host. */
	final class Scheduler implements PeerNotifier {

		final InMemoryTable.Client tableClient = SimulatedCell.this.table.client();

		final SimulatedWorkerClient workerClient = SimulatedCell.this.workers.client();

		final SimulatedProcess process = new SimulatedProcess(SimulatedCell.this.time);

		final OwnerElection election;

		final JobTableReplica jobs;

		private final OwnershipTerms terms = new OwnershipTerms(this::createOwner, this::followLists);

		private final PoolDependencies dependencies;

		private final HostRecord self;

		private final Set<Scheduler> unreachable = new HashSet<>();

		private boolean muted;

		private boolean killed;

		Scheduler(String name, String incarnation, double processors) {
			EligibilityClient service = SimulatedCell.this::requestTickets;
			ScheduledExecutorService control = this.process.executor();
			this.dependencies = new PoolDependencies(this.tableClient, this.workerClient, service, control,
					SimulatedCell.this.time.clock(), new Log(name + incarnation), SimulatedCell.this.unreadable,
					InterferenceSettings.DEFAULT, SimulatedCell.this.maxRowBytes);
			this.jobs = new JobTableReplica(this.tableClient, control, SimulatedCell.this.unreadable,
					SimulatedCell.this.time.clock());
			control.schedule(this.jobs::start, STANDBY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			this.self = new HostRecord(name, "domain", name + ":1", name + incarnation, processors, false);
			this.election = new OwnerElection(this.dependencies, this.self, this.terms::begin, this.terms::isGoingOn);
		}

		private PoolOwner createOwner(TakeOver takeOver, Consumer<String> onTermEnd) {
			return new PoolOwner(this.dependencies, this.jobs, takeOver, this, onTermEnd);
		}

		private Runnable followLists(PoolOwner owner) {
			owner.configure(configuration());
			owner.updateHosts(List.of("s0", "s1", "s2", "s3"));
			AtomicBoolean isOpen = new AtomicBoolean(true);
			refreshWorkers(owner, isOpen);
			return () -> isOpen.set(false);
		}

		Optional<PoolOwner> owner() {
			return this.killed ? Optional.empty() : this.terms.owner();
		}

		@Override
		public void sendHeartbeat(long epoch, long version) {
			send((election) -> election.heartbeatReceived(epoch, version));
			SimulatedCell.this.gateways.forEach((gateway) -> gateway.heartbeatReceived(this, epoch));
		}

		@Override
		public void publishStates(long epoch, Map<String, SubmissionState> states, Optional<QueueCount> pending) {
			SimulatedCell.this.toldStates.accept(states);
			SimulatedCell.this.gateway.applyOwnerUpdate(states, pending);
			SimulatedCell.this.gateways.forEach((gateway) -> gateway.statesReceived(states, pending));
		}

		@Override
		public void announceRelease(OwnerRecord record, long version) {
			send((election) -> election.ownerReleased(record, version));
		}

		@Override
		public void requestTakeOver(long version) {
			send((election) -> election.takeOverRequested(version));
		}

		private void send(Consumer<OwnerElection> message) {
			SimulatedCell.this.schedulers.stream()
				.filter((other) -> !this.muted && other != this && !this.unreachable.contains(other))
				.forEach((other) -> other.process.run(() -> message.accept(other.election)));
		}

		/**
		 * Cuts this process off from another scheduler in both directions, or ends that.
		 * @param other the other scheduler
		 * @param isDisconnected whether it is cut off
		 */
		void setDisconnectedFrom(Scheduler other, boolean isDisconnected) {
			if (isDisconnected) {
				this.unreachable.add(other);
				other.unreachable.add(this);
			}
			else {
				this.unreachable.remove(other);
				other.unreachable.remove(this);
			}
		}

		/**
		 * Registers other hosts, all of them ready, with this owner.
		 * @param others the hosts, in the order in which they were started
		 */
		void registerStandbys(Scheduler... others) {
			List<StandbySelector.Candidate> candidates = new ArrayList<>();
			for (Scheduler other : others) {
				candidates.add(new StandbySelector.Candidate(other.self, candidates.size(), true));
			}
			owner().orElseThrow().updateRegisteredHosts(candidates, this.self);
		}

		/** Suppresses all messages of this process to other schedulers from now on. */
		void muteToPeers() {
			this.muted = true;
		}

		private void refreshWorkers(PoolOwner target, AtomicBoolean isOpen) {
			if (isOpen.get() && !this.killed) {
				this.process.run(() -> target.updateWorkers(SimulatedCell.this.workers.listedWorkers()));
				SimulatedCell.this.time.schedule(() -> refreshWorkers(target, isOpen), 250, TimeUnit.MILLISECONDS);
			}
		}

		boolean isKilled() {
			return this.killed;
		}

		/** Ends the process without releasing the pool. */
		void kill() {
			this.election.close();
			this.jobs.close();
			this.killed = true;
			this.terms.owner().ifPresent(PoolOwner::close);
		}

		/**
		 * Asks the process to stop, which releases the pool.
		 * @return completed when the pool is released
		 */
		CompletableFuture<Void> stop() {
			this.election.close();
			return this.terms.release();
		}

	}

}
