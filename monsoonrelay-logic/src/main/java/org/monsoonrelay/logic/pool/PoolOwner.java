package org.monsoonrelay.logic.pool;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.QueueConfiguration;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * One term of owning the pool: loads the jobs while it learns from the workers what runs,
 * and places what it knows of, until it gives the pool up or another process has taken
 * it. Invariants: nothing starts on a worker before its first look under this term's
 * fence; a task that an earlier owner may have started is not started again before every
 * worker that owner used has been heard of or its leases have lapsed. Not thread-safe:
 * confined to the control thread.
 */
public final class PoolOwner {

	/** Time between two looks for what has lapsed or ended, milliseconds. */
	private static final long CLEANUP_INTERVAL_MILLIS = 40;

	/** Least time between two heartbeats to the other hosts, milliseconds. */
	private static final long HEARTBEAT_INTERVAL_MILLIS = 100;

	/** Least time between two invitations, milliseconds. */
	private static final long TAKE_OVER_REQUEST_INTERVAL_MILLIS = 250;

	private final PoolDependencies dependencies;

	private final TakeOver takeOver;

	private final long epoch;

	private final long takenOverNanos;

	private final OwnerLease lease;

	private final JobRegistry registry;

	private final WorkerPool pool = new WorkerPool();

	private final PoolStateWriter stateWriter;

	private final EligibilityTracker eligibility;

	private final RunController runs;

	private final TaskPlacer placer;

	private final PoolLoadReporter loadReporter;

	private final JobTableReplica jobTables;

	private final JobTableListener jobTableListener = new JobTableListener();

	private final Consumer<String> onTermEnd;

	private final PeerNotifier peers;

	private final SchedulingLoop loop;

	private long takeOverRequestedNanos;

	private long heartbeatSentNanos;

	private boolean configured;

	private boolean closed;

	private boolean releasing;

	private boolean workersAccounted;

	private long cleanedUpNanos;

	/**
	 * Begin a term.
	 * @param ports what is needed from outside
	 * @param jobs the jobs that this process knows
	 * @param taken how this process became the owner
	 * @param peers the other hosts
	 * @param over told once when the term is over, with the reason
	 */
	public PoolOwner(PoolDependencies ports, JobTableReplica jobs, TakeOver taken, PeerNotifier peers,
			Consumer<String> over) {
		this(ports, jobs, taken, peers, PlacementRules.DEFAULT, over);
	}

	PoolOwner(PoolDependencies ports, JobTableReplica jobs, TakeOver taken, PeerNotifier peers, PlacementRules rules,
			Consumer<String> over) {
		this.dependencies = ports;
		this.takeOver = taken;
		this.epoch = taken.record().epoch();
		this.peers = peers;
		this.onTermEnd = over;
		this.takenOverNanos = ports.clock().nanos();
		this.takeOverRequestedNanos = this.takenOverNanos;
		this.heartbeatSentNanos = this.takenOverNanos;
		this.cleanedUpNanos = this.takenOverNanos - TimeUnit.MILLISECONDS.toNanos(CLEANUP_INTERVAL_MILLIS);
		this.loop = new SchedulingLoop(ports.control(), ports.clock(), this::runTurn);
		this.lease = new OwnerLease(this.epoch, ports.clock());
		this.lease.renewed(taken.sentNanos(), taken.sentMillis());
		this.registry = new JobRegistry(this.epoch);
		this.pool.recoverFrom(taken.previous());
		this.stateWriter = new PoolStateWriter(ports.table(), ports.control(), this.lease, this.registry, this.pool,
				ports.clock(), new StateWriterListener());
		this.stateWriter.start(taken);
		this.jobTables = jobs;
		this.eligibility = new EligibilityTracker(ports.eligibility(), ports.control(), ports.clock(), ports.log(),
				this::eligibilityAnswered);
		this.runs = new RunController(ports.orders(), this.lease, this.pool, this.registry, this.jobTables::isLoaded,
				this.eligibility, ports.control(), ports.clock(), ports.log(), new PoolRunListener());
		this.placer = new TaskPlacer(this.registry, this.pool, this.runs, this.eligibility, this.lease, ports.clock(),
				rules);
		this.loadReporter = new PoolLoadReporter(this.epoch, this.pool, this.registry, this.eligibility, ports.log(),
				this.takenOverNanos);
	}

	/**
	 * Take in the jobs and begin.
	 */
	public void start() {
		this.loop.start();
		this.jobTables.attach(this.jobTableListener);
	}

	/**
	 * Take in the configuration in force.
	 * @param configuration the configuration
	 */
	public void configure(QueueConfiguration configuration) {
		this.configured = true;
		this.placer.configure(configuration);
	}

	/**
	 * Take in a job that a gateway has stored, sooner than the feed brings it.
	 * @param submission the job
	 * @param version the version of its row
	 */
	public void jobAccepted(Submission submission, long version) {
		this.jobTables.jobAccepted(submission, version);
	}

	/**
	 * Take in a cancellation that a gateway has stored, sooner than the feed brings it.
	 * @param job the job's id
	 */
	public void jobCancelled(String job) {
		this.jobTables.jobCancelled(job);
	}

	/**
	 * Take in the list of workers.
	 * @param listed all workers that the list names
	 */
	public void updateWorkers(Collection<WorkerInfo> listed) {
		List<PoolWorker> added = this.pool.update(listed);
		added.forEach(this.runs::poll);
		this.loop.requestTurn();
	}

	/**
	 * Name the hosts of this system that can ask for eligibility.
	 * @param available the hosts, those for short calls first
	 */
	public void updateHosts(List<String> available) {
		this.eligibility.updateHosts(available);
		this.loop.requestTurn();
	}

	/**
	 * Choose the hosts that stand ready to own the pool next. To be called with each
	 * change and from time to time.
	 * @param registered all hosts of this system
	 * @param self this host
	 */
	public void updateRegisteredHosts(Collection<StandbySelector.Candidate> registered, HostRecord self) {
		this.stateWriter.setStandbys(StandbySelector.select(registered, self),
				StandbySelector.largest(registered, self));
	}

	/**
	 * Use a host again that has started anew.
	 * @param host the host
	 */
	public void hostRestarted(String host) {
		this.eligibility.hostRestarted(host);
		this.loop.requestTurn();
	}

	/**
	 * Give the pool up, so that another process need not wait for a lapse. Work goes on
	 * until the write that says so is sent, which waits for the one in flight: beside a
	 * table that takes 300 ms for a write that saves as much.
	 */
	public void release() {
		this.stateWriter.release();
	}

	/**
	 * End the term at once.
	 */
	public void close() {
		this.closed = true;
		this.loop.close();
		this.runs.close();
		this.jobTables.detach(this.jobTableListener);
		this.stateWriter.close();
	}

	private void eligibilityAnswered(StepKey step) {
		this.registry.step(step).ifPresent(ActiveStep::resetSearch);
		this.loop.requestTurn();
	}

	private void runTurn() {
		long begun = this.dependencies.clock().nanos();
		sendHeartbeatIfDue();
		if (this.jobTables.hasReplayed() && !this.releasing) {
			cleanUp(begun);
			checkWorkersAccounted();
			if (this.configured) {
				this.placer.placeAll();
				this.eligibility.sendRequests();
			}
		}
		this.stateWriter.flush();
		this.loadReporter.recordTurn(begun, this.dependencies.clock().nanos());
	}

	private void cleanUp(long now) {
		if (now - this.cleanedUpNanos >= TimeUnit.MILLISECONDS.toNanos(CLEANUP_INTERVAL_MILLIS)) {
			this.cleanedUpNanos = now;
			this.runs.expireLeases();
			this.eligibility
				.removeIf((step) -> this.registry.job(step.job()).filter((job) -> !job.isEnded()).isEmpty());
		}
	}

	private void sendHeartbeatIfDue() {
		long now = this.dependencies.clock().nanos();
		if (now - this.heartbeatSentNanos >= TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_INTERVAL_MILLIS)) {
			this.heartbeatSentNanos = now;
			this.peers.sendHeartbeat(this.epoch, this.stateWriter.version());
		}
	}

	private void checkWorkersAccounted() {
		if (ageMillis() > OwnerLease.MAX_ORDER_VALIDITY_MILLIS / WorkerLease.MIN_CLOCK_RATE) {
			this.pool.abandonRecovery();
		}
		if (!this.workersAccounted && this.pool.isRecoveryComplete()) {
			this.workersAccounted = true;
			this.placer.markRecovered();
			this.dependencies.log()
				.write(new PoolDecision.WorkersAccounted(this.epoch, this.takeOver.previous().workers().size(),
						ageMillis()));
		}
	}

	private long ageMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.dependencies.clock().nanos() - this.takenOverNanos);
	}

	private boolean canFormerOwnerStart() {
		return ageMillis() < this.takeOver.formerOwnerStartMillis();
	}

	private void endTerm(String reason) {
		if (this.closed) {
			return;
		}
		close();
		this.dependencies.log().write(new PoolDecision.OwnershipLost(this.epoch, reason));
		this.onTermEnd.accept(reason);
	}

	private final class JobTableListener implements JobTableReplica.Listener {

		@Override
		public void submitted(Submission submission, Optional<JobProgress> progress, long version) {
			PoolOwner owner = PoolOwner.this;
			boolean isInherited = version <= owner.takeOver.version() || owner.canFormerOwnerStart();
			if (!owner.registry.add(submission, progress, isInherited)) {
				return;
			}
			if (!owner.lease.canStartNewJobs() || !owner.stateWriter.isConfirmed(version)) {
				owner.registry.deferStart(submission.id(), version);
			}
			owner.runs.onJobLoaded(submission.id());
			long age = owner.dependencies.clock().millis() - submission.acceptedMillis();
			owner.dependencies.log()
				.write(new JobDecision.JobLearnt(submission.id(), submission.policy().queue(), age,
						submission.steps().size()));
		}

		@Override
		public void alreadyEnded(String job) {
			PoolOwner.this.registry.addEnded(job);
			PoolOwner.this.runs.onJobLoaded(job);
		}

		@Override
		public void cancelled(String job) {
			PoolOwner.this.registry.cancel(job).ifPresent(PoolOwner.this.runs::onJobEnded);
		}

		@Override
		public void changed() {
			PoolOwner.this.loop.requestTurn();
		}

		@Override
		public void allLoaded() {
			PoolOwner owner = PoolOwner.this;
			owner.stateWriter.startCounting();
			owner.dependencies.log()
				.write(new PoolDecision.OwnershipSettled(owner.epoch, owner.registry.unfinishedCount(),
						owner.ageMillis()));
		}

	}

	private final class StateWriterListener implements PoolStateWriter.Listener {

		@Override
		public void writeDurable(Map<String, SubmissionState> states, Optional<QueueCount> pending) {
			PoolOwner owner = PoolOwner.this;
			if (owner.lease.canStartNewJobs()) {
				owner.registry.releaseDeferred(owner.stateWriter::isConfirmed);
			}
			if (!states.isEmpty() || pending.isPresent()) {
				owner.peers.publishStates(owner.epoch, states, pending);
			}
			owner.runs.onTerminationsDurable();
			PoolOwner.this.loop.requestTurn();
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

	}

}
