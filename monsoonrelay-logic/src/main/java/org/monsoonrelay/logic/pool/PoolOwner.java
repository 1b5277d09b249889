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
	private static final long TIDY_MILLIS = 40;

	/** Least time between two heartbeats to the other hosts, milliseconds. */
	private static final long HEARTBEAT_MILLIS = 100;

	/** Least time between two invitations, milliseconds. */
	private static final long INVITE_MILLIS = 250;

	private final PoolPorts ports;

	private final TakeOver taken;

	private final long epoch;

	private final long takenNanos;

	private final OwnerTerm term;

	private final JobRegistry registry;

	private final WorkerPool pool = new WorkerPool();

	private final PoolJournal journal;

	private final EligibilityTracker eligibility;

	private final RunController runs;

	private final TaskPlacer placer;

	private final PoolLoadLog loadLog;

	private final JobIntake jobs;

	private final JobsListener jobsListener = new JobsListener();

	private final Consumer<String> over;

	private final OwnerPeers peers;

	private final TurnTimer turns;

	private long invitedNanos;

	private long toldNanos;

	private boolean configured;

	private boolean closed;

	private boolean releasing;

	private boolean accounted;

	private long tidiedNanos;

	/**
	 * Begin a term.
	 * @param ports what is needed from outside
	 * @param jobs the jobs that this process knows
	 * @param taken how this process became the owner
	 * @param peers the other hosts
	 * @param over told once when the term is over, with the reason
	 */
	public PoolOwner(PoolPorts ports, JobIntake jobs, TakeOver taken, OwnerPeers peers, Consumer<String> over) {
		this(ports, jobs, taken, peers, PlacementRules.DEFAULT, over);
	}

	PoolOwner(PoolPorts ports, JobIntake jobs, TakeOver taken, OwnerPeers peers, PlacementRules rules,
			Consumer<String> over) {
		this.ports = ports;
		this.taken = taken;
		this.epoch = taken.record().epoch();
		this.peers = peers;
		this.over = over;
		this.takenNanos = ports.clock().nanos();
		this.invitedNanos = this.takenNanos;
		this.toldNanos = this.takenNanos;
		this.tidiedNanos = this.takenNanos - TimeUnit.MILLISECONDS.toNanos(TIDY_MILLIS);
		this.turns = new TurnTimer(ports.control(), ports.clock(), this::turn);
		this.term = new OwnerTerm(this.epoch, ports.clock());
		this.term.renewed(taken.sentNanos(), taken.sentMillis());
		this.registry = new JobRegistry(this.epoch);
		this.pool.inherit(taken.inherited());
		this.journal = new PoolJournal(ports.table(), ports.control(), this.term, this.registry, this.pool,
				ports.clock(), new JournalListener());
		this.journal.begin(taken);
		this.jobs = jobs;
		this.eligibility = new EligibilityTracker(ports.eligibility(), ports.control(), ports.clock(), ports.log(),
				this::eligibilityAnswered);
		this.runs = new RunController(ports.orders(), this.term, this.pool, this.registry, this.jobs::isLoaded,
				this.eligibility, ports.control(), ports.clock(), ports.log(), new PoolRunListener());
		this.placer = new TaskPlacer(this.registry, this.pool, this.runs, this.eligibility, this.term, ports.clock(),
				rules);
		this.loadLog = new PoolLoadLog(this.epoch, this.pool, this.registry, this.eligibility, ports.log(),
				this.takenNanos);
	}

	/**
	 * Take in the jobs and begin.
	 */
	public void start() {
		this.turns.start();
		this.jobs.attach(this.jobsListener);
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
	public void accepted(Submission submission, long version) {
		this.jobs.accepted(submission, version);
	}

	/**
	 * Take in a cancellation that a gateway has stored, sooner than the feed brings it.
	 * @param job the job's id
	 */
	public void cancelled(String job) {
		this.jobs.cancelled(job);
	}

	/**
	 * Take in the list of workers.
	 * @param listed all workers that the list names
	 */
	public void workers(Collection<WorkerInfo> listed) {
		List<PoolWorker> added = this.pool.update(listed);
		added.forEach(this.runs::watch);
		this.turns.soon();
	}

	/**
	 * Name the hosts of this system that can ask for eligibility.
	 * @param available the hosts, those for short calls first
	 */
	public void hosts(List<String> available) {
		this.eligibility.updateHosts(available);
		this.turns.soon();
	}

	/**
	 * Choose the hosts that stand ready to own the pool next. To be called with each
	 * change and from time to time.
	 * @param registered all hosts of this system
	 * @param self this host
	 */
	public void registered(Collection<StandbyChoice.Candidate> registered, HostRecord self) {
		this.journal.standbys(StandbyChoice.choose(registered, self), StandbyChoice.largest(registered, self));
	}

	/**
	 * Use a host again that has started anew.
	 * @param host the host
	 */
	public void hostRestarted(String host) {
		this.eligibility.hostRestarted(host);
		this.turns.soon();
	}

	/**
	 * Give the pool up, so that another process need not wait for a lapse. Work goes on
	 * until the write that says so is sent, which waits for the one in flight: beside a
	 * table that takes 300 ms for a write that saves as much.
	 */
	public void release() {
		this.journal.release();
	}

	/**
	 * End the term at once.
	 */
	public void close() {
		this.closed = true;
		this.turns.close();
		this.runs.close();
		this.jobs.detach(this.jobsListener);
		this.journal.close();
	}

	private void eligibilityAnswered(StepKey step) {
		this.registry.step(step).ifPresent(ActiveStep::resetSearch);
		this.turns.soon();
	}

	private void turn() {
		long begun = this.ports.clock().nanos();
		tellPeers();
		if (this.jobs.hasBegun() && !this.releasing) {
			tidy(begun);
			account();
			if (this.configured) {
				this.placer.placeAll();
				this.eligibility.sendRequests();
			}
		}
		this.journal.flush();
		this.loadLog.turn(begun, this.ports.clock().nanos());
	}

	private void tidy(long now) {
		if (now - this.tidiedNanos >= TimeUnit.MILLISECONDS.toNanos(TIDY_MILLIS)) {
			this.tidiedNanos = now;
			this.runs.expire();
			this.eligibility
				.removeIf((step) -> this.registry.job(step.job()).filter((job) -> !job.isEnded()).isEmpty());
		}
	}

	private void tellPeers() {
		long now = this.ports.clock().nanos();
		if (now - this.toldNanos >= TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MILLIS)) {
			this.toldNanos = now;
			this.peers.heartbeat(this.epoch, this.journal.version());
		}
	}

	private void account() {
		if (ageMillis() > OwnerTerm.LONGEST_ORDER_MILLIS / WorkerLease.SLOWEST_RATE) {
			this.pool.forgetInherited();
		}
		if (!this.accounted && this.pool.isAccounted()) {
			this.accounted = true;
			this.placer.markRecovered();
			this.ports.log()
				.write(new PoolDecision.WorkersAccounted(this.epoch, this.taken.inherited().workers().size(),
						ageMillis()));
		}
	}

	private long ageMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.ports.clock().nanos() - this.takenNanos);
	}

	private boolean mayFormerOwnerStart() {
		return ageMillis() < this.taken.formerOwnerMillis();
	}

	private void lost(String reason) {
		if (this.closed) {
			return;
		}
		close();
		this.ports.log().write(new PoolDecision.OwnershipLost(this.epoch, reason));
		this.over.accept(reason);
	}

	private final class JobsListener implements JobIntake.Listener {

		@Override
		public void submitted(Submission submission, Optional<JobProgress> progress, long version) {
			PoolOwner owner = PoolOwner.this;
			boolean isInherited = version <= owner.taken.version() || owner.mayFormerOwnerStart();
			if (!owner.registry.learn(submission, progress, isInherited)) {
				return;
			}
			if (!owner.term.mayStartNewJobs() || !owner.journal.isConfirmed(version)) {
				owner.registry.hold(submission.id(), version);
			}
			owner.runs.learnt(submission.id());
			long age = owner.ports.clock().millis() - submission.acceptedMillis();
			owner.ports.log()
				.write(new JobDecision.JobLearnt(submission.id(), submission.policy().queue(), age,
						submission.steps().size()));
		}

		@Override
		public void endedBefore(String job) {
			PoolOwner.this.registry.learnEnded(job);
			PoolOwner.this.runs.learnt(job);
		}

		@Override
		public void cancelled(String job) {
			PoolOwner.this.registry.cancel(job).ifPresent(PoolOwner.this.runs::ended);
		}

		@Override
		public void changed() {
			PoolOwner.this.turns.soon();
		}

		@Override
		public void loadedAll() {
			PoolOwner owner = PoolOwner.this;
			owner.journal.count();
			owner.ports.log()
				.write(new PoolDecision.OwnershipSettled(owner.epoch, owner.registry.unendedCount(),
						owner.ageMillis()));
		}

	}

	private final class JournalListener implements PoolJournal.Listener {

		@Override
		public void durable(Map<String, SubmissionState> states, Optional<QueueCount> pending) {
			PoolOwner owner = PoolOwner.this;
			if (owner.term.mayStartNewJobs()) {
				owner.registry.releaseHeld(owner.journal::isConfirmed);
			}
			if (!states.isEmpty() || pending.isPresent()) {
				owner.peers.durable(owner.epoch, states, pending);
			}
			owner.runs.durable();
			PoolOwner.this.turns.soon();
		}

		@Override
		public void turnedAway() {
			PoolOwner owner = PoolOwner.this;
			owner.term.doubt();
			long now = owner.ports.clock().nanos();
			if (now - owner.invitedNanos > TimeUnit.MILLISECONDS.toNanos(INVITE_MILLIS)) {
				owner.invitedNanos = now;
				owner.peers.inviteTakeOver(owner.journal.version());
			}
		}

		@Override
		public void releasing() {
			PoolOwner.this.releasing = true;
			PoolOwner.this.runs.close();
		}

		@Override
		public void released(OwnerRecord record, long version) {
			PoolOwner.this.peers.released(record, version);
			lost("given up");
		}

		@Override
		public void ownershipLost(String reason) {
			lost(reason);
		}

	}

	private final class PoolRunListener implements RunListener {

		@Override
		public void changed() {
			PoolOwner.this.turns.soon();
		}

		@Override
		public void fenced(String worker) {
			lost("worker " + worker + " obeys a later owner");
		}

	}

}
