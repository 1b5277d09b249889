package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.logic.platform.TableFollower;
import org.monsoonrelay.logic.submission.JobStates;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.logic.submission.WaitingJobs;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * The copy of the states of jobs that the gateway of one host has: it follows the table
 * and hears the owner by the rules of the gateway's link to the owner. Not thread-safe.
 */
final class SimulatedGateway {

	private static final long HEARTBEAT_EXPIRY_MILLIS = 500;

	private static final long STEADY_AFTER_MILLIS = 4000;

	private static final Duration STEADY_READ_INTERVAL = Duration.ofMillis(1000);

	private static final Duration NOTIFIED_READ_INTERVAL = Duration.ofMillis(700);

	private static final Duration UNNOTIFIED_READ_INTERVAL = Duration.ofMillis(90);

	final InMemoryTable.Client tableClient;

	private final VirtualTime time;

	private final JobStates states;

	private Optional<SimulatedCell.Scheduler> owner = Optional.empty();

	private long epoch;

	private long firstHeartbeatMillis;

	private long heartbeatMillis;

	private boolean cutFromOwners;

	SimulatedGateway(SimulatedCell cell) {
		this.time = cell.time;
		this.tableClient = cell.table.client();
		this.states = new JobStates(cell.unreadable, this.time.clock()::nanos);
		new TableFollower(this.tableClient, JobTables.STATES, List.of(JobTables.POOL_PARTITION), this::readInterval,
				this.time, this.states)
			.start();
	}

	private Duration readInterval() {
		if (!isOwnerResponsive()) {
			return UNNOTIFIED_READ_INTERVAL;
		}
		boolean isSteady = this.time.millis() - this.firstHeartbeatMillis >= STEADY_AFTER_MILLIS;
		return isSteady ? STEADY_READ_INTERVAL : NOTIFIED_READ_INTERVAL;
	}

	private boolean isOwnerResponsive() {
		return this.owner.isPresent() && this.time.millis() - this.heartbeatMillis < HEARTBEAT_EXPIRY_MILLIS;
	}

	/**
	 * Sets whether messages between this gateway and owners are lost, unnoticed by both.
	 * @param isCut whether they are
	 */
	void setCutFromOwners(boolean isCut) {
		this.cutFromOwners = isCut;
	}

	void heartbeatReceived(SimulatedCell.Scheduler sender, long ofEpoch) {
		if (this.cutFromOwners || this.epoch > ofEpoch) {
			return;
		}
		if (this.epoch != ofEpoch || !isOwnerResponsive()) {
			this.firstHeartbeatMillis = this.time.millis();
		}
		this.owner = Optional.of(sender);
		this.epoch = ofEpoch;
		this.heartbeatMillis = this.time.millis();
	}

	void statesReceived(Map<String, SubmissionState> changed, Optional<QueueCount> pending) {
		if (!this.cutFromOwners) {
			this.states.applyOwnerUpdate(changed, pending);
		}
	}

	/**
	 * Notifies the owner of a job that this gateway has stored.
	 * @param submission the job
	 * @param version version of its row
	 */
	void announce(Submission submission, long version) {
		if (this.cutFromOwners || !isOwnerResponsive()) {
			return;
		}
		SimulatedCell.Scheduler receiver = this.owner.orElseThrow();
		this.time.schedule(
				() -> receiver.process
					.run(() -> receiver.owner().ifPresent((present) -> present.jobAccepted(submission, version))),
				1, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the number of waiting jobs that this gateway answers.
	 * @param queue the queue's name
	 * @return the number, empty if it says that it does not know
	 */
	OptionalInt waitingJobs(String queue) {
		WaitingJobs known = this.states.waitingJobs(queue);
		return known.mayBeOutdated() ? OptionalInt.empty() : OptionalInt.of(known.jobs());
	}

	/**
	 * Returns what the answer rests on, for the report of a failure.
	 * @param queue the queue's name
	 * @return the answer
	 */
	WaitingJobs answer(String queue) {
		return this.states.waitingJobs(queue);
	}

}
