package org.monsoonrelay.gateway.jobs;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.JobAccepted;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.JobCancelled;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.OwnerAlive;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StatesNews;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.submission.JobStates;
import org.monsoonrelay.logic.submission.QueueSummary;
import org.monsoonrelay.logic.submission.StoredListener;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * A gateway's short way to the owner of the pool and back: what is stored here is told to
 * the owner, what the owner made durable is told to callers, without a feed of the table
 * between. Beside a table that takes 250 ms for a call each of the two ways saves as
 * much. Nothing depends on a message: the feeds bring everything as well. Thread-safe.
 */
final class OwnerLink implements StoredListener {

	/**
	 * How long the last sign of life of an owner counts, milliseconds; one is sent about
	 * every 100 ms.
	 */
	private static final long FRESH_MILLIS = 500;

	private static final String OWNER = "owner of the pool";

	private final PeerNetwork network;

	private final JobStates states;

	private final LongSupplier nanoTime;

	private final DecisionLog log;

	private volatile Optional<Owner> owner = Optional.empty();

	private volatile boolean lost = true;

	OwnerLink(PeerNetwork network, JobStates states, LongSupplier nanoTime, DecisionLog log) {
		this.network = network;
		this.states = states;
		this.nanoTime = nanoTime;
		this.log = log;
	}

	/**
	 * Whether an owner was heard of just now, so that its news arrive sooner than the
	 * feed's.
	 * @return {@code true} if so
	 */
	boolean isFresh() {
		boolean isFresh = this.owner.filter(this::isFresh).isPresent();
		if (!isFresh && !this.lost) {
			this.lost = true;
			this.log.write(new Decision.DependencyLost(OWNER, "no sign of life for " + FRESH_MILLIS + " ms"));
		}
		return isFresh;
	}

	private boolean isFresh(Owner known) {
		return this.nanoTime.getAsLong() - known.heardNanos() < TimeUnit.MILLISECONDS.toNanos(FRESH_MILLIS);
	}

	@Override
	public void accepted(Submission submission, long version) {
		tell(Envelope.newBuilder()
			.setJobAccepted(JobAccepted.newBuilder().setSubmissionJson(Json.write(submission)).setVersion(version)));
	}

	@Override
	public void cancelled(String job) {
		tell(Envelope.newBuilder().setJobCancelled(JobCancelled.newBuilder().setJob(job)));
	}

	private void tell(Envelope.Builder message) {
		this.owner.filter(this::isFresh).ifPresent((known) -> this.network.tell(known.address(), message));
	}

	/**
	 * Take in a one-way message.
	 * @param message the message
	 * @return whether it was news of an owner
	 */
	boolean take(Envelope message) {
		switch (message.getBodyCase()) {
			case OWNER_ALIVE -> heard(message.getOwnerAlive());
			case STATES_NEWS -> take(message.getStatesNews());
			default -> {
				return false;
			}
		}
		return true;
	}

	private synchronized void heard(OwnerAlive alive) {
		if (this.owner.filter((known) -> known.epoch() > alive.getEpoch()).isPresent()) {
			return;
		}
		this.owner = Optional
			.of(new Owner(alive.getEpoch(), HostAddress.parse(alive.getAddress()), this.nanoTime.getAsLong()));
		if (this.lost) {
			this.lost = false;
			this.log.write(new Decision.DependencyBack(OWNER, -1));
		}
	}

	private void take(StatesNews news) {
		Map<String, SubmissionState> told = new HashMap<>();
		news.getJobsList().forEach((job) -> told.put(job.getJob(), SubmissionState.valueOf(job.getState())));
		Optional<QueueSummary> pending = news.getCounted() ? Optional.of(new QueueSummary(news.getPendingMap()))
				: Optional.empty();
		this.states.told(news.getEpoch(), told, pending);
	}

	private record Owner(long epoch, HostAddress address, long heardNanos) {

	}

}
