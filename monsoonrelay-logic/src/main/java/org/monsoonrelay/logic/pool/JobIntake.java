package org.monsoonrelay.logic.pool;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.PoolDecision;
import org.monsoonrelay.logic.platform.CatchUp;
import org.monsoonrelay.logic.submission.StoredProgress;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmittedJob;

/**
 * Takes the jobs of the tables into one term of an owner. Invariants: a job is known to
 * the registry before its runs are charged to its customer or processed; progress of a
 * former owner that arrives after its job is added to what is known. Not thread-safe:
 * confined to the control thread.
 */
final class JobIntake implements JobReplicaListener {

	private final JobRegistry registry;

	private final InheritedJobs inheritedJobs;

	private final CustomerAccounts accounts;

	private final RunController runs;

	private final OwnerLease lease;

	private final PoolStateWriter stateWriter;

	private final PoolDependencies dependencies;

	private final TakeOver takeOver;

	private final long takenOverNanos;

	private long replayedNanos;

	private final Runnable requestTurn;

	JobIntake(JobRegistry registry, InheritedJobs inheritedJobs, CustomerAccounts accounts, RunController runs,
			OwnerLease lease, PoolStateWriter stateWriter, PoolDependencies dependencies, TakeOver takeOver,
			long takenOverNanos, Runnable requestTurn) {
		this.registry = registry;
		this.inheritedJobs = inheritedJobs;
		this.accounts = accounts;
		this.runs = runs;
		this.lease = lease;
		this.stateWriter = stateWriter;
		this.dependencies = dependencies;
		this.takeOver = takeOver;
		this.takenOverNanos = takenOverNanos;
		this.requestTurn = requestTurn;
	}

	@Override
	public void submitted(Submission submission, Optional<StoredProgress> progress, long version) {
		if (!this.registry.add(submission, progress, this.inheritedJobs.isInherited(version))) {
			return;
		}
		if (!this.lease.canStartNewJobs() || !this.stateWriter.isConfirmed(version)) {
			this.registry.deferStart(submission.id(), version);
		}
		this.accounts.onJobLoaded(submission.id());
		this.runs.onJobLoaded(submission.id());
		long age = this.dependencies.clock().millis() - submission.acceptedMillis();
		this.dependencies.log()
			.write(new JobDecision.JobLearnt(submission.id(), submission.policy().queue(), age,
					submission.steps().size()));
	}

	@Override
	public void alreadyEnded(String job) {
		this.registry.addEnded(job);
		this.runs.onJobLoaded(job);
	}

	@Override
	public void cancelled(String job) {
		this.registry.cancel(job).ifPresent(this.runs::onJobEnded);
	}

	@Override
	public void changed() {
		this.requestTurn.run();
	}

	@Override
	public void progressLoaded(CatchUp read, int missedRows, int unfinishedJobs, int endedJobs) {
		this.replayedNanos = this.dependencies.clock().nanos();
		this.dependencies.log()
			.write(new PoolDecision.ProgressLoaded(this.lease.epoch(), this.takeOver.previousVersion(),
					this.takeOver.version(), read.version(), read.rows(), read.answers(), missedRows, unfinishedJobs,
					endedJobs, millisSince(this.takenOverNanos)));
	}

	@Override
	public void progressReceivedLate(String job, StoredProgress late) {
		SubmittedJob known = this.registry.job(job).orElse(null);
		if (known == null) {
			if (late.progress().state().isFinal()) {
				alreadyEnded(job);
			}
			return;
		}
		if (late.version() <= this.registry.restoredVersion(job)) {
			return;
		}
		JobProgress.Difference unknown = late.progress().differenceTo(known.toProgress(), known.submission());
		this.dependencies.log()
			.write(new JobDecision.ProgressDeliveredLate(job, late.version(), this.takeOver.version(),
					millisSince(this.replayedNanos), late.progress().state().name(), unknown.doneTasks(),
					unknown.failures()));
		boolean wasEnded = known.isEnded();
		this.registry.join(known, late);
		this.runs.onProgressJoined(known, wasEnded);
		this.requestTurn.run();
	}

	private long millisSince(long nanos) {
		return TimeUnit.NANOSECONDS.toMillis(this.dependencies.clock().nanos() - nanos);
	}

	@Override
	public void allLoaded() {
		this.stateWriter.startCounting();
		long ageMillis = millisSince(this.takenOverNanos);
		this.dependencies.log()
			.write(new PoolDecision.OwnershipSettled(this.lease.epoch(), this.registry.unfinishedCount(), ageMillis));
	}

}
