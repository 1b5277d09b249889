package org.monsoonrelay.gateway.jobs;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.CommitReply;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.CommitRequest;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.JobAccepted;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.JobCancelled;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.OwnerHeartbeat;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StatesNews;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.JobDecision;
import org.monsoonrelay.logic.events.ProcessDecision;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.submission.CommitRelay;
import org.monsoonrelay.logic.submission.JobStates;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.logic.submission.QueueSummary;
import org.monsoonrelay.logic.submission.StoredJobListener;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;

/**
 * A gateway's short way to the owner of the pool and back: what is stored here is told to
 * the owner, what the owner made durable is told to callers, without a feed of the table
 * between. Beside a table that takes 250 ms for a call each of the two ways saves as
 * much. Nothing depends on a message: the feeds bring everything as well. Thread-safe.
 */
final class OwnerLink implements StoredJobListener, CommitRelay {

	/**
	 * How long the last heartbeat of an owner counts, milliseconds; one is sent about
	 * every 100 ms.
	 */
	private static final long HEARTBEAT_EXPIRY_MILLIS = 500;

	/** How long an owner has to be heard of to count as steady, milliseconds. */
	private static final long STEADY_AFTER_MILLIS = 4000;

	private static final String OWNER = "owner of the pool";

	/**
	 * How long another host may take for a write. Callers wait 3 s in all, and this one
	 * has tried before.
	 */
	private static final Duration RELAY_TIMEOUT = Duration.ofMillis(1000);

	private final HostAddress self;

	private final PeerNetwork network;

	private final JobStates states;

	private final LongSupplier nanoTime;

	private final DecisionLog log;

	private final Runnable onOwnerWrite;

	private volatile Optional<Owner> owner = Optional.empty();

	private volatile boolean isOwnerUnresponsive = true;

	/**
	 * Create a link.
	 * @param self this host
	 * @param network the other hosts
	 * @param states takes what the owner made durable
	 * @param nanoTime the steady clock
	 * @param log takes what becomes of writes through the owner
	 * @param onOwnerWrite called when an owner on another host is heard to have written
	 */
	OwnerLink(HostAddress self, PeerNetwork network, JobStates states, LongSupplier nanoTime, DecisionLog log,
			Runnable onOwnerWrite) {
		this.self = self;
		this.network = network;
		this.states = states;
		this.nanoTime = nanoTime;
		this.log = log;
		this.onOwnerWrite = onOwnerWrite;
	}

	/**
	 * Whether an owner was heard of just now, so that its news arrive sooner than the
	 * feed's.
	 * @return {@code true} if so
	 */
	boolean isOwnerResponsive() {
		boolean isOwnerResponsive = this.owner.filter(this::hasRecentHeartbeat).isPresent();
		if (!isOwnerResponsive && !this.isOwnerUnresponsive) {
			this.isOwnerUnresponsive = true;
			this.log.write(
					new ProcessDecision.DependencyLost(OWNER, "no heartbeat for " + HEARTBEAT_EXPIRY_MILLIS + " ms"));
		}
		return isOwnerResponsive;
	}

	/**
	 * Whether the same owner has been heard of for a while, so that it has had the time
	 * to connect to this host.
	 * @return {@code true} if so
	 */
	boolean isOwnerSteady() {
		return isOwnerResponsive()
				&& this.owner.filter((known) -> isAtLeastAgo(known.firstHeartbeatNanos(), STEADY_AFTER_MILLIS))
					.isPresent();
	}

	private boolean isAtLeastAgo(long nanos, long millis) {
		return this.nanoTime.getAsLong() - nanos >= TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private boolean hasRecentHeartbeat(Owner known) {
		return this.nanoTime.getAsLong() - known.heartbeatNanos() < TimeUnit.MILLISECONDS
			.toNanos(HEARTBEAT_EXPIRY_MILLIS);
	}

	@Override
	public void jobAccepted(Submission submission, long version) {
		send(Envelope.newBuilder()
			.setJobAccepted(JobAccepted.newBuilder().setSubmissionJson(Json.write(submission)).setVersion(version)));
	}

	@Override
	public void jobCancelled(String job) {
		send(Envelope.newBuilder().setJobCancelled(JobCancelled.newBuilder().setJob(job)));
	}

	@Override
	public Optional<CompletableFuture<PartitionCommit>> relay(PartitionWrite write) {
		return this.owner.filter(this::hasRecentHeartbeat)
			.filter((known) -> !known.address().equals(this.self))
			.map((known) -> relay(write, known.address()));
	}

	private CompletableFuture<PartitionCommit> relay(PartitionWrite write, HostAddress relayHost) {
		long startNanos = this.nanoTime.getAsLong();
		Envelope.Builder request = Envelope.newBuilder()
			.setCommitRequest(CommitRequest.newBuilder().setWriteJson(Json.write(write)));
		return this.network.request(relayHost, request, RELAY_TIMEOUT)
			.handle((reply, failure) -> (failure != null) ? new PartitionCommit.Unknown(failure.getMessage())
					: toCommit(reply.getCommitReply()))
			.whenComplete((commit, failure) -> {
				String job = write.puts().isEmpty() ? "" : JobTables.job(write.puts().get(0).key());
				long tookMillis = TimeUnit.NANOSECONDS.toMillis(this.nanoTime.getAsLong() - startNanos);
				this.log.write(new JobDecision.WriteRelayed(job, relayHost.toString(),
						commit.getClass().getSimpleName(), tookMillis));
			});
	}

	private static PartitionCommit toCommit(CommitReply reply) {
		return switch (reply.getOutcome()) {
			case COMMITTED -> new PartitionCommit.Committed(reply.getVersion());
			case CONFLICT -> new PartitionCommit.Conflict(List.of());
			case NOT_DONE -> new PartitionCommit.NotDone(reply.getReason());
			default -> new PartitionCommit.Unknown(reply.getReason());
		};
	}

	/**
	 * Do a write for a host that the table turns away.
	 * @param request the host's request
	 * @param table the table
	 * @return the reply
	 */
	static CompletableFuture<Envelope.Builder> handleCommitRequest(CommitRequest request, PartitionedTable table) {
		return table.commit(Json.read(request.getWriteJson(), PartitionWrite.class))
			.thenApply((commit) -> Envelope.newBuilder().setCommitReply(toReply(commit)));
	}

	private static CommitReply.Builder toReply(PartitionCommit commit) {
		CommitReply.Builder reply = CommitReply.newBuilder();
		if (commit instanceof PartitionCommit.Committed committed) {
			return reply.setOutcome(CommitReply.Outcome.COMMITTED).setVersion(committed.version());
		}
		if (commit instanceof PartitionCommit.Conflict) {
			return reply.setOutcome(CommitReply.Outcome.CONFLICT);
		}
		if (commit instanceof PartitionCommit.NotDone notDone) {
			return reply.setOutcome(CommitReply.Outcome.NOT_DONE).setReason(notDone.reason());
		}
		return reply.setOutcome(CommitReply.Outcome.UNKNOWN).setReason(((PartitionCommit.Unknown) commit).reason());
	}

	private void send(Envelope.Builder message) {
		this.owner.filter(this::hasRecentHeartbeat).ifPresent((known) -> this.network.tell(known.address(), message));
	}

	/**
	 * Take in a one-way message.
	 * @param message the message
	 * @return whether it was news of an owner
	 */
	boolean handleNotification(Envelope message) {
		switch (message.getBodyCase()) {
			case OWNER_HEARTBEAT -> heartbeatReceived(message.getOwnerHeartbeat());
			case STATES_NEWS -> statesReceived(message.getStatesNews());
			default -> {
				return false;
			}
		}
		return true;
	}

	private synchronized void heartbeatReceived(OwnerHeartbeat heartbeat) {
		if (this.owner.filter((known) -> known.epoch() > heartbeat.getEpoch()).isPresent()) {
			return;
		}
		HostAddress address = HostAddress.parse(heartbeat.getAddress());
		boolean hasWritten = this.owner.filter((known) -> known.version() >= heartbeat.getVersion()).isEmpty();
		long now = this.nanoTime.getAsLong();
		long firstHeartbeat = this.owner
			.filter((known) -> known.epoch() == heartbeat.getEpoch() && hasRecentHeartbeat(known))
			.map(Owner::firstHeartbeatNanos)
			.orElse(now);
		this.owner = Optional.of(new Owner(heartbeat.getEpoch(), address, heartbeat.getVersion(), firstHeartbeat, now));
		if (hasWritten && !address.equals(this.self)) {
			this.onOwnerWrite.run();
		}
		if (this.isOwnerUnresponsive) {
			this.isOwnerUnresponsive = false;
			this.log.write(new ProcessDecision.DependencyBack(OWNER, -1));
		}
	}

	private void statesReceived(StatesNews update) {
		Map<String, SubmissionState> stateByJob = new HashMap<>();
		update.getJobsList().forEach((job) -> stateByJob.put(job.getJob(), SubmissionState.valueOf(job.getState())));
		Optional<QueueCount> pending = Optional
			.of(new QueueCount(new QueueSummary(update.getPendingMap()), update.getCountedVersion()))
			.filter((count) -> count.version() > 0);
		this.states.applyOwnerUpdate(stateByJob, pending);
	}

	private record Owner(long epoch, HostAddress address, long version, long firstHeartbeatNanos, long heartbeatNanos) {

	}

}
