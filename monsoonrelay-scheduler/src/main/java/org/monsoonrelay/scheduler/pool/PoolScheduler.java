package org.monsoonrelay.scheduler.pool;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.monsoonrelay.adapters.peer.PeerIdentity;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.settings.SettingsException;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.pool.HostRecord;
import org.monsoonrelay.logic.pool.JobTableReplica;
import org.monsoonrelay.logic.pool.OwnerElection;
import org.monsoonrelay.logic.pool.OwnerRecord;
import org.monsoonrelay.logic.pool.OwnershipTerms;
import org.monsoonrelay.logic.pool.PeerNotifier;
import org.monsoonrelay.logic.pool.PollRequest;
import org.monsoonrelay.logic.pool.PoolClock;
import org.monsoonrelay.logic.pool.PoolDependencies;
import org.monsoonrelay.logic.pool.PoolOwner;
import org.monsoonrelay.logic.pool.StandbyRole;
import org.monsoonrelay.logic.pool.TakeOver;
import org.monsoonrelay.logic.pool.ThrottledPeerNotifier;
import org.monsoonrelay.logic.pool.WorkerInfo;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.platform.ConfigurationFollower;
import org.monsoonrelay.platform.HostSettings;
import org.monsoonrelay.platform.HttpEligibilityClient;
import org.monsoonrelay.platform.HttpWorkerClient;
import org.monsoonrelay.platform.WorkerListFollower;

/**
 * The scheduler of a host: creates and connects its components. It takes part in the
 * election of the owner of the pool and makes eligibility calls for the owner. Control
 * state is accessed only on the control thread, but for the configuration, which has a
 * thread of its own, so that a change waits for no placement.
 */
public final class PoolScheduler {

	private static final System.Logger LOGGER = System.getLogger(PoolScheduler.class.getName());

	private static final int TRAINING_CALLS = 5;

	/**
	 * Delay after the start before a standby reads the jobs, in milliseconds: after a
	 * power loss the gateway in the same process needs the processor first.
	 */
	private static final long STANDBY_DELAY_MILLIS = 1500;

	/**
	 * Interval at which a host checks whether it is a standby, and at which the owner
	 * updates the standby candidates, in milliseconds.
	 */
	private static final long STANDBY_CHECK_MILLIS = 500;

	/** Maximum time for a stopping owner to release the pool, in milliseconds. */
	private static final long RELEASE_TIMEOUT_MILLIS = 4000;

	private final HostSettings settings;

	private final HostRecord self;

	private final ScheduledExecutorService control = new ControlThread("control");

	private final ScheduledExecutorService configurationThread = new ControlThread("configuration");

	private final UnreadableRows unreadable;

	private final ConfigurationFollower configuration;

	private final PeerEligibilityClient eligibility;

	private final HostRegistry registry;

	private final PeerNotifier peers;

	private final JobTableReplica jobs;

	private final StandbyRole standby;

	private final OwnerElection election;

	private final PoolDependencies dependencies;

	private final OwnershipTerms terms = new OwnershipTerms(this::createOwner, this::followLists);

	/**
	 * Create a scheduler.
	 * @param settings the host's settings
	 * @param self identity of this process
	 * @param table the platform's table
	 * @param network the network of the hosts
	 * @param log receives decisions
	 * @param unreadable records unreadable rows
	 */
	public PoolScheduler(HostSettings settings, PeerIdentity self, PartitionedTable table, PeerNetwork network,
			DecisionLog log, UnreadableRows unreadable) {
		this.settings = settings;
		this.unreadable = unreadable;
		this.configuration = new ConfigurationFollower(table, this.configurationThread, log,
				(inForce) -> this.control.execute(this::configurationChanged), this.unreadable, PoolClock.SYSTEM);
		this.self = new HostRecord(settings.host(), settings.failureDomain(), self.address().toString(), self.session(),
				settings.processors(), settings.linkMbps(), false);
		this.registry = new HostRegistry(table, this.control, this.self, new HostListener(), unreadable);
		HttpEligibilityClient service = new HttpEligibilityClient(settings.eligibilityAddress()
			.orElseThrow(() -> new SettingsException("the setting eligibility is missing")));
		this.eligibility = new PeerEligibilityClient(settings.host(), service, network, this.registry::address);
		this.dependencies = new PoolDependencies(table, new HttpWorkerClient(), this.eligibility, this.control,
				PoolClock.SYSTEM, log, unreadable, settings.interference(), settings.maxRowBytes());
		this.peers = new ThrottledPeerNotifier(
				new NetworkPeerNotifier(network, self.address(), this.registry::addresses), this.control,
				PoolClock.SYSTEM);
		this.jobs = new JobTableReplica(table, this.control, unreadable, PoolClock.SYSTEM);
		this.standby = new StandbyRole(this.jobs, PoolClock.SYSTEM, log);
		this.election = new OwnerElection(this.dependencies, this.self, this.terms::begin, this.terms::isGoingOn);
	}

	/**
	 * Start the scheduler.
	 */
	public void start() {
		this.election.start();
		this.configuration.start();
		this.registry.start();
		this.control.scheduleWithFixedDelay(this::checkStandby, STANDBY_DELAY_MILLIS, STANDBY_CHECK_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void checkStandby() {
		this.standby.update(this.election.isStandby());
		this.terms.owner().ifPresent(this::updateStandbyCandidates);
	}

	private void updateStandbyCandidates(PoolOwner owner) {
		owner.updateRegisteredHosts(this.registry.standbyCandidates(System.nanoTime()), this.self);
	}

	/**
	 * The configuration in force, which is followed continuously.
	 * @return the follower of the configuration
	 */
	public ConfigurationFollower configuration() {
		return this.configuration;
	}

	/**
	 * Call the eligibility service on behalf of a peer.
	 * @param message the peer's request
	 * @return the reply
	 */
	public CompletableFuture<Envelope.Builder> handleEligibilityRequest(Envelope message) {
		Duration remaining = Duration.ofMillis(Math.max(1, message.getRemainingMillis()));
		return this.eligibility.handleRequest(message.getEligibilityRequest(), remaining);
	}

	/**
	 * Handle a one-way message.
	 * @param message the message
	 * @return whether schedulers handle this kind of message
	 */
	public boolean handleNotification(Envelope message) {
		Optional<Runnable> handler = handlerOf(message);
		handler.ifPresent(this.control::execute);
		return handler.isPresent();
	}

	private Optional<Runnable> handlerOf(Envelope message) {
		return switch (message.getBodyCase()) {
			case TAKE_OVER_REQUEST ->
				Optional.of(() -> this.election.takeOverRequested(message.getTakeOverRequest().getVersion()));
			case OWNER_HEARTBEAT -> Optional.of(() -> this.election
				.heartbeatReceived(message.getOwnerHeartbeat().getEpoch(), message.getOwnerHeartbeat().getVersion()));
			case OWNER_RELEASED -> read(message.getOwnerReleased().getRecordJson(), OwnerRecord.class)
				.map((record) -> () -> this.election.ownerReleased(record, message.getOwnerReleased().getVersion()));
			case JOB_ACCEPTED -> read(message.getJobAccepted().getSubmissionJson(), Submission.class)
				.map((submission) -> () -> jobAccepted(submission, message.getJobAccepted().getVersion()));
			case JOB_CANCELLED -> Optional.of(() -> this.terms.owner()
				.ifPresent((owner) -> owner.jobCancelled(message.getJobCancelled().getJob())));
			default -> Optional.empty();
		};
	}

	// Parsed before it is passed to the control thread: an unreadable message from a peer
	// of
	// another release must not stop this process.
	private static <T> Optional<T> read(String json, Class<T> type) {
		try {
			return Optional.of(Json.readRow(json, type));
		}
		catch (JsonProcessingException ex) {
			LOGGER.log(System.Logger.Level.WARNING, "ignored unreadable message of a peer: {0}",
					ex.getOriginalMessage());
			return Optional.empty();
		}
	}

	private void jobAccepted(Submission submission, long version) {
		this.terms.owner().ifPresent((owner) -> owner.jobAccepted(submission, version));
	}

	// Later changes may be in force by now; the owner never goes back to an earlier one.
	private void configurationChanged() {
		this.terms.owner().ifPresent((owner) -> owner.configure(this.configuration.activeConfiguration()));
	}

	private PoolOwner createOwner(TakeOver takeOver, Consumer<String> onTermEnd) {
		return new PoolOwner(this.dependencies, this.jobs, takeOver, this.peers, onTermEnd);
	}

	// Only an owner follows the lists of workers and hosts.
	private Runnable followLists(PoolOwner owner) {
		owner.updateHosts(this.registry.hostNames());
		if (this.configuration.activeConfiguration().version() > 0) {
			owner.configure(this.configuration.activeConfiguration());
		}
		WorkerListFollower workers = new WorkerListFollower(this.dependencies.table(), this.control,
				owner::updateWorkers, this.unreadable);
		workers.start();
		this.registry.follow();
		return () -> {
			workers.close();
			this.registry.close();
		};
	}

	/**
	 * Make a few calls that fail, so that the classes they use are loaded.
	 */
	public void train() {
		List<Integer> ports = this.settings.internalPorts();
		HostAddress unused = new HostAddress(this.settings.ip(), ports.get(ports.size() - 1));
		WorkerInfo placeholder = new WorkerInfo("none", "none", unused.toString(), "none", Resources.NONE, List.of(),
				"none", false, 0);
		PollRequest poll = new PollRequest(0, 0, OptionalLong.empty(), Duration.ZERO);
		for (int i = 0; i < TRAINING_CALLS; i++) {
			this.dependencies.workerClient().poll(placeholder, poll).join();
			this.dependencies.table().commit(PartitionWrite.to("none")).join();
		}
	}

	/**
	 * Leave the election, and release the pool if this host owns it.
	 * @return completed when the pool is released or the time limit has passed
	 */
	public CompletableFuture<Void> release() {
		CompletableFuture<Void> released = new CompletableFuture<>();
		this.control.execute(() -> {
			this.election.close();
			this.registry.announceStop();
			this.terms.release().thenAccept(released::complete);
		});
		return released.completeOnTimeout(null, RELEASE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Stop immediately.
	 */
	public void close() {
		this.configurationThread.shutdownNow();
		this.control.shutdownNow();
	}

	private final class HostListener implements HostRegistry.Listener {

		@Override
		public void hostsChanged(List<String> hosts) {
			PoolScheduler scheduler = PoolScheduler.this;
			scheduler.terms.owner().ifPresent((owner) -> {
				owner.updateHosts(hosts);
				scheduler.updateStandbyCandidates(owner);
			});
		}

		@Override
		public void hostRestarted(String host) {
			PoolScheduler.this.terms.owner().ifPresent((owner) -> owner.hostRestarted(host));
		}

	}

}
