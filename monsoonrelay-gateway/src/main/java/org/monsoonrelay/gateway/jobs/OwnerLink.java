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
 * Exchanges messages directly between a gateway and the owner of the pool, without
 * waiting for a feed of the table: the owner is notified of stored jobs, and the gateway
 * of states that the owner has made durable. With a table that takes 250 ms for a call,
 * each direction saves that much. A lost message is harmless: the feeds deliver the same
 * changes. Thread-safe.
 */
final class OwnerLink implements StoredJobListener, CommitRelay {

	/**
	 * Time without a heartbeat after which an owner is unresponsive, in milliseconds. One
	 * is sent about every 100 ms.
	 */
	private static final long HEARTBEAT_EXPIRY_MILLIS = 500;

	/**
	 * Time with continuous heartbeats after which an owner is steady, in milliseconds.
	 */
	private static final long STEADY_AFTER_MILLIS = 4000;

	private static final String OWNER = "owner of the pool";

	/**
	 * Maximum time for a write through another host. Callers wait 3 s in total, and this
	 * host has tried the write before.
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
	 * @param self address of this host
	 * @param network the network of the hosts
	 * @param states receives the states that the owner has made durable
	 * @param nanoTime the monotonic clock, in nanoseconds
	 * @param log receives the outcome of writes through the owner
	 * @param onOwnerWrite called when a heartbeat shows that an owner on another host has
	 * written
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
	 * Whether an owner has sent a recent heartbeat, so that its notifications arrive
	 * sooner than changes from the feed.
	 * @return {@code true} if the last heartbeat has not expired
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
	 * Whether the same owner has sent heartbeats long enough to have connected to this
	 * host.
	 * @return {@code true} if the owner is responsive and steady
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
			case REJECTED -> new PartitionCommit.Rejected(reply.getReason());
			case NOT_DONE -> new PartitionCommit.NotDone(reply.getReason());
			default -> new PartitionCommit.Unknown(reply.getReason());
		};
	}

	/**
	 * Execute a write for a host whose writes the table rejects.
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
		if (commit instanceof PartitionCommit.Rejected rejected) {
			return reply.setOutcome(CommitReply.Outcome.REJECTED).setReason(rejected.reason());
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
	 * Handle a one-way message.
	 * @param message the message
	 * @return whether it was a message of an owner
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
