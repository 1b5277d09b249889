package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.interference.Interference;
import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.model.submission.QueueConfiguration;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.SubmittedJob;

/**
 * One term of owning the pool. Loads the jobs and queries the workers for their runs at
 * the same time, and places tasks until the pool is released or another process has taken
 * it over. Invariants: nothing is started on a worker before the worker was polled under
 * this term's fencing token; a task that a former owner may have started is not started
 * again before all workers of that owner have been polled or their leases have expired.
 * Not thread-safe: confined to the control thread.
 */
public final class PoolOwner {

	/** Interval between checks for expired leases and ended jobs, milliseconds. */
	private static final long CLEANUP_INTERVAL_MILLIS = 40;

	/** Minimum interval between take-over requests, milliseconds. */
	private static final long TAKE_OVER_REQUEST_INTERVAL_MILLIS = 250;

	private final PoolDependencies dependencies;

	private final TakeOver takeOver;

	private final long epoch;

	private final long takenOverNanos;

	private final OwnerLease lease;

	private final InheritedJobs inheritedJobs;

	private final JobRegistry registry;

	private final WorkerPool pool = new WorkerPool();

	private final PoolStateWriter stateWriter;

	private final EligibilityTracker eligibility;

	private final CustomerAccounts accounts;

	private final RunController runs;

	private final TaskPlacer placer;

	private final PoolLoadReporter loadReporter;

	private final WaitReporter waitReporter;

	private final RenewalMonitor renewalMonitor;

	private final Heartbeat heartbeat;

	private final JobTableReplica jobTables;

	private final JobIntake intake;

	private final Consumer<String> onTermEnd;

	private final PeerNotifier peers;

	private final SchedulingLoop loop;

	private long takeOverRequestedNanos;

	private boolean configured;

	private boolean closed;

	private boolean releasing;

	private boolean recoveryComplete;

	private long cleanedUpNanos;

	/**
	 * Creates an owner that does not receive jobs yet.
	 * @param dependencies the services that the owner depends on
	 * @param jobTables the jobs that this process has read
	 * @param takeOver how this process became the owner
	 * @param peers notifies the other hosts
	 * @param onTermEnd called once when the term has ended, with the reason
	 */
	public PoolOwner(PoolDependencies dependencies, JobTableReplica jobTables, TakeOver takeOver, PeerNotifier peers,
			Consumer<String> onTermEnd) {
		this(dependencies, jobTables, takeOver, peers,
				(preferences) -> PlacementRules.learning(dependencies.clock(), dependencies.log(), preferences),
				onTermEnd);
	}

	PoolOwner(PoolDependencies dependencies, JobTableReplica jobTables, TakeOver takeOver, PeerNotifier peers,
			PlacementRules rules, Consumer<String> onTermEnd) {
		this(dependencies, jobTables, takeOver, peers, (preferences) -> rules, onTermEnd);
	}

	private PoolOwner(PoolDependencies dependencies, JobTableReplica jobTables, TakeOver takeOver, PeerNotifier peers,
			Function<List<WorkerPreference>, PlacementRules> rules, Consumer<String> onTermEnd) {
		this.dependencies = dependencies;
		this.takeOver = takeOver;
		this.epoch = takeOver.record().epoch();
		this.peers = peers;
		this.onTermEnd = onTermEnd;
		this.takenOverNanos = dependencies.clock().nanos();
		this.takeOverRequestedNanos = this.takenOverNanos;
		this.cleanedUpNanos = this.takenOverNanos - TimeUnit.MILLISECONDS.toNanos(CLEANUP_INTERVAL_MILLIS);
		this.loop = new SchedulingLoop(dependencies.control(), dependencies.clock(), this::runTurn);
		this.lease = new OwnerLease(this.epoch, dependencies.clock());
		this.lease.renewed(takeOver.sentNanos(), takeOver.sentMillis());
		this.inheritedJobs = new InheritedJobs(takeOver, this.takenOverNanos);
		this.registry = new JobRegistry(this.epoch);
		this.accounts = new CustomerAccounts(this.registry, this.pool);
		this.pool.account(this.accounts);
		this.pool.recoverFrom(takeOver);
		this.stateWriter = new PoolStateWriter(dependencies.table(), dependencies.control(), this.lease, this.registry,
				this.pool, dependencies.clock(), jobTables::isRecent, new StateWriterListener(),
				new WriteRefusalHandler(this.epoch, this.registry, this::jobGivenUp, dependencies.clock(),
						dependencies.log()),
				dependencies.maxRowBytes());
		this.stateWriter.start(takeOver);
		this.jobTables = jobTables;
		this.eligibility = new EligibilityTracker(dependencies.eligibility(), dependencies.control(),
				dependencies.clock(), dependencies.log(), this::eligibilityAnswered);
		RunListener runListener = new PoolRunListener();
		this.runs = new RunController(dependencies.workerClient(), this.lease, this.pool, this.registry,
				this.jobTables::isLoaded, this.eligibility, dependencies.control(), dependencies.clock(),
				dependencies.log(), runListener);
		Interference interference = new Interference(dependencies.interference(),
				new RunPacer(dependencies, this.lease, this.pool, runListener), dependencies.log());
		this.runs.observe(interference);
		PlacementRules applied = rules.apply(List.of(interference));
		applied.observers().forEach(this.runs::observe);
		InheritedCancellations cancellations = new InheritedCancellations(jobTables::isReadUpToTakeOver,
				dependencies.clock(), this.takenOverNanos);
		this.placer = new TaskPlacer(this.registry, this.pool, this.runs, this.eligibility, this.lease, this.accounts,
				cancellations, dependencies.clock(), applied);
		this.loadReporter = new PoolLoadReporter(this.epoch, this.pool, this.registry, this.eligibility,
				this.stateWriter, this.accounts, dependencies.log(), this.takenOverNanos);
		this.waitReporter = new WaitReporter(this.epoch, this.placer, dependencies.log(), this.takenOverNanos);
		this.renewalMonitor = new RenewalMonitor(this.lease, this.pool, this.registry, dependencies.log());
		this.heartbeat = new Heartbeat(this.epoch, peers, dependencies.clock());
		this.intake = new JobIntake(this.registry, this.inheritedJobs, this.accounts, this.runs, this.lease,
				this.stateWriter, dependencies, takeOver, this.takenOverNanos, this.loop::requestTurn);
	}

	private void jobGivenUp(SubmittedJob job) {
		this.runs.onJobEnded(job);
		this.loop.requestTurn();
	}

	/** Starts the scheduling loop and receives the jobs. */
	public void start() {
		if (!this.takeOver.previous().recordsCrashes()) {
			this.dependencies.log()
				.write(new PoolDecision.CrashRecordsMissing(this.epoch, this.takeOver.previous().host()));
		}
		OwnerRecord previous = this.takeOver.previous();
		this.dependencies.log()
			.write(new PoolDecision.RecoveryStarted(this.epoch, previous.workers().size(), previous.closed().size(),
					previous.closed().values().stream().mapToInt(List::size).sum(),
					this.pool.inherited().maxRemainingMillis(this.takenOverNanos)));
		this.runs.losses().restoreUnresolvedStarts(this.takeOver);
		this.loop.start();
		this.jobTables.attach(this.intake, this.takeOver.version());
	}

	/**
	 * Applies a configuration. No task is placed before the first one.
	 * @param configuration the configuration in force
	 */
	public void configure(QueueConfiguration configuration) {
		this.configured = true;
		this.placer.configure(configuration);
	}

	/**
	 * Adds a job that a gateway has stored, before the job feed delivers it.
	 * @param submission the job
	 * @param version version of the job's row
	 */
	public void jobAccepted(Submission submission, long version) {
		this.jobTables.jobAccepted(submission, version);
	}

	/**
	 * Applies a cancellation that a gateway has stored, before the job feed delivers it.
	 * @param job the job's id
	 */
	public void jobCancelled(String job) {
		this.jobTables.jobCancelled(job);
	}

	/**
	 * Updates the workers of the pool.
	 * @param listed all workers in the current list of workers
	 */
	public void updateWorkers(Collection<WorkerInfo> listed) {
		WorkerPool.ListChanges changes = this.pool.update(listed);
		changes.added().forEach(this.runs::poll);
		changes.restarted().forEach(this.runs::handleListedRestart);
		this.loop.requestTurn();
	}

	/**
	 * Sets the hosts of this system that can send eligibility requests.
	 * @param available the hosts, those for short requests first
	 */
	public void updateHosts(List<String> available) {
		this.eligibility.updateHosts(available);
		this.loop.requestTurn();
	}

	/**
	 * Selects the standby hosts. To be called at regular intervals and when the
	 * registered hosts have changed.
	 * @param registered all registered hosts of this system
	 * @param self this host
	 */
	public void updateRegisteredHosts(Collection<StandbySelector.Candidate> registered, HostRecord self) {
		this.stateWriter.records()
			.setStandbys(StandbySelector.select(registered, self), StandbySelector.largest(registered, self));
	}

	/**
	 * Resumes eligibility requests through a host that has been restarted.
	 * @param host the host
	 */
	public void hostRestarted(String host) {
		this.eligibility.hostRestarted(host);
		this.loop.requestTurn();
	}

	/**
	 * Releases the pool so that another process can take it over without waiting for an
	 * expiry. Work continues until the releasing write is sent, which waits for the write
	 * in flight. With a table that takes 300 ms per write, this allows 300 ms more of
	 * work.
	 */
	public void release() {
		this.stateWriter.release();
	}

	/** Stops all work at once, without releasing the pool. */
	public void close() {
		this.closed = true;
		this.loop.close();
		this.runs.close();
		this.jobTables.detach(this.intake);
		this.stateWriter.close();
	}

	private void eligibilityAnswered(StepKey step) {
		this.placer.eligibilityAnswered(step);
		this.loop.requestTurn();
	}

	private void runTurn() {
		long startNanos = this.dependencies.clock().nanos();
		this.heartbeat.sendIfDue(this.stateWriter.version());
		this.renewalMonitor.check();
		if (this.jobTables.hasReplayed() && !this.releasing) {
			cleanUp(startNanos);
			checkRecovery();
			if (this.configured) {
				this.placer.placeAll();
				this.eligibility.sendRequests();
				this.waitReporter.reportIfDue(startNanos);
			}
		}
		this.stateWriter.flush();
		this.loadReporter.recordTurn(startNanos, this.dependencies.clock().nanos());
	}

	private void cleanUp(long now) {
		if (now - this.cleanedUpNanos >= TimeUnit.MILLISECONDS.toNanos(CLEANUP_INTERVAL_MILLIS)) {
			this.cleanedUpNanos = now;
			this.runs.expireLeases();
			this.eligibility
				.removeIf((step) -> this.registry.job(step.job()).filter((job) -> !job.isEnded()).isEmpty());
		}
	}

	private void checkRecovery() {
		this.runs.losses().expireInheritedWorkers();
		if (!this.recoveryComplete && this.pool.inherited().areReconciled()) {
			this.recoveryComplete = true;
			this.runs.losses().onRecovered();
			this.placer.markRecovered();
			this.dependencies.log()
				.write(new PoolDecision.WorkersAccounted(this.epoch, this.takeOver.previous().workers().size(),
						ageMillis()));
		}
	}

	private long ageMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.dependencies.clock().nanos() - this.takenOverNanos);
	}

	/**
	 * Ends the term at once, without releasing the pool, and reports that. Has no effect
	 * if it has ended.
	 * @param reason why the term ends
	 */
	void endTerm(String reason) {
		if (this.closed) {
			return;
		}
		close();
		this.dependencies.log().write(new PoolDecision.OwnershipLost(this.epoch, reason));
		this.onTermEnd.accept(reason);
	}

	private final class StateWriterListener implements StateWriteListener {

		@Override
		public void writeDurable(Map<String, SubmissionState> states, Optional<QueueCount> pending) {
			PoolOwner owner = PoolOwner.this;
			owner.inheritedJobs.recordWrite(owner.stateWriter.durableComposedNanos(), owner.stateWriter.version());
			if (owner.lease.canStartNewJobs()) {
				owner.registry.releaseDeferred(owner.stateWriter::isConfirmed);
			}
			if (!states.isEmpty() || pending.isPresent()) {
				owner.peers.publishStates(owner.epoch, states, pending);
			}
			owner.runs.onTerminationsDurable();
			owner.loop.requestTurn();
		}

		@Override
		public void writesRejected() {
			PoolOwner owner = PoolOwner.this;
			owner.lease.markContested();
			long now = owner.dependencies.clock().nanos();
			if (now - owner.takeOverRequestedNanos > TimeUnit.MILLISECONDS.toNanos(TAKE_OVER_REQUEST_INTERVAL_MILLIS)) {
				owner.takeOverRequestedNanos = now;
				owner.peers.requestTakeOver(owner.stateWriter.version());
			}
		}

		@Override
		public void writeNotComposed(String job, RuntimeException failure) {
			PoolOwner owner = PoolOwner.this;
			owner.dependencies.log()
				.write(new PoolDecision.WriteNotComposed(owner.epoch, job, String.valueOf(failure)));
		}

		@Override
		public void releaseStarting() {
			PoolOwner.this.releasing = true;
			PoolOwner.this.runs.close();
		}

		@Override
		public void released(OwnerRecord record, long version) {
			PoolOwner.this.peers.announceRelease(record, version);
			endTerm("given up");
		}

		@Override
		public void ownershipLost(String reason) {
			endTerm(reason);
		}

	}

	private final class PoolRunListener implements RunListener {

		@Override
		public void stateChanged() {
			PoolOwner.this.loop.requestTurn();
		}

		@Override
		public void workerFenced(String worker) {
			endTerm("worker " + worker + " obeys a later owner");
		}

		@Override
		public void fencingTokensUsedUp() {
			release();
		}

	}

}
