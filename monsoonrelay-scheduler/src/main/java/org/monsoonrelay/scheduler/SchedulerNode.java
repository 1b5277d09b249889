package org.monsoonrelay.scheduler;

import java.time.Clock;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.apache.commons.rng.simple.RandomSource;
import org.monsoonrelay.adapters.http.HealthRoutes;
import org.monsoonrelay.adapters.http.HttpServer;
import org.monsoonrelay.adapters.node.ControlFollower;
import org.monsoonrelay.adapters.node.HostListFollower;
import org.monsoonrelay.adapters.node.ProcessMetrics;
import org.monsoonrelay.adapters.operator.WorkersRoom;
import org.monsoonrelay.adapters.peer.PeerCodec;
import org.monsoonrelay.adapters.peer.PeerIdentity;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Announcement;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.QueueClaim;
import org.monsoonrelay.adapters.platform.HttpPlatform;
import org.monsoonrelay.adapters.platform.HttpWorkerAgents;
import org.monsoonrelay.adapters.platform.MeteredTable;
import org.monsoonrelay.logic.control.ActiveControlState;
import org.monsoonrelay.logic.control.ControlLog;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.membership.OwnershipKeeper;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.logic.platform.MonotonicInstantSource;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.logic.platform.WriteBudget;
import org.monsoonrelay.logic.queue.AwaitedDependencies;
import org.monsoonrelay.logic.queue.JobRecordStore;
import org.monsoonrelay.logic.queue.QueueManager;
import org.monsoonrelay.logic.queue.RackDirectory;
import org.monsoonrelay.logic.rack.RackManager;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.membership.Ownership;
import org.monsoonrelay.model.membership.SessionRecord;
import org.monsoonrelay.model.workload.Team;

/**
 * A scheduler process: creates the components and schedules the periodic work of the
 * control thread. Only the control thread accesses control state; other threads submit
 * tasks to it.
 */
final class SchedulerNode {

	private static final System.Logger LOGGER = System.getLogger(SchedulerNode.class.getName());

	static final String ROLE = "scheduler";

	private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);

	private static final Duration WORKER_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAXIMUM_BODY_BYTES = 16 * 1024 * 1024;

	private static final int TICK_INTERVAL_MILLIS = 50;

	/** Maximum number of job rows per second that all schedulers together write. */
	private static final int JOB_ROWS_PER_SECOND = 200;

	private static final int SECOND_MILLIS = 1000;

	private static final int SAMPLE_INTERVAL_MILLIS = 10 * SECOND_MILLIS;

	private final SchedulerSettings settings;

	private final String session = UUID.randomUUID().toString();

	private final ScheduledExecutorService control = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "control"));

	private final ControlTracker tracker = new ControlTracker();

	private final ControlLog controlLog;

	private final ControlFollower follower;

	private final HttpPlatform platform;

	private final HostListFollower hostListFollower;

	private final PeerNetwork network;

	private final PeerDirectory peers;

	private final RackDirectory racks;

	private final PeerAnnouncements announcements;

	private final RackManager rackManager;

	private final QueueManager queueManager;

	private final AwaitedDependencies awaitedDependencies = new AwaitedDependencies();

	private final OwnershipKeeper ownership;

	private final WriteBudget jobRowBudget = new WriteBudget(System::nanoTime, JOB_ROWS_PER_SECOND);

	private final SchedulerRequestHandler requestHandler;

	private final SchedulerMetrics schedulerMetrics;

	private final HttpServer operators;

	private final QueueActivation activation;

	private final EventDelivery eventDelivery;

	private volatile HostList hostList = new HostList(0, List.of());

	SchedulerNode(SchedulerSettings settings) {
		this.settings = settings;
		Clock clock = Clock.systemUTC();
		InstantSource time = new MonotonicInstantSource(clock, System::nanoTime);
		MetricRegistry metrics = new MetricRegistry();
		this.platform = new HttpPlatform(settings.node().platformAddress(), PLATFORM_TIMEOUT);
		this.hostListFollower = new HostListFollower(this.platform, (list) -> this.control.execute(() -> update(list)));
		TableService table = new MeteredTable(this.platform, metrics);
		ProcessMetrics.addTo(metrics, this.tracker);
		this.schedulerMetrics = new SchedulerMetrics(metrics);
		this.controlLog = new ControlLog(table, this.platform, clock);
		this.follower = new ControlFollower(this.controlLog, this.tracker);
		this.peers = new PeerDirectory(Duration.ofMillis(settings.sessionLapseMillis()).toNanos());
		this.racks = new RackDirectory(RandomSource.XO_RO_SHI_RO_128_PP.create());
		this.announcements = new PeerAnnouncements(this.peers, this.racks);
		this.rackManager = new RackManager(new HttpWorkerAgents(WORKER_TIMEOUT), this.control, time, System::nanoTime,
				Duration.ofMillis(settings.workerLeaseMillis()));
		PeerIdentity self = new PeerIdentity(this.session, ROLE, settings.node().failureDomain(),
				settings.node().peerListenAddress());
		this.network = new PeerNetwork(self, settings.node().secret(), this::handle);
		PeerRackOwners owners = new PeerRackOwners(this.session, this.rackManager, this.racks, this.peers, this.network,
				time);
		this.queueManager = new QueueManager(owners, this.racks, (onConflict) -> new JobRecordStore(table, this.control,
				() -> UUID.randomUUID().toString(), onConflict, this.jobRowBudget), this.control, time);
		this.ownership = new OwnershipKeeper(
				new SessionRecord(this.session, settings.node().failureDomain(), settings.node().peerListenAddress()),
				table, this.control, System::nanoTime, Duration.ofMillis(settings.sessionLapseMillis()),
				this::ownershipChanged);
		this.activation = new QueueActivation(System::nanoTime, this.queueManager::isActive,
				this.queueManager::activate, this::claimQueue);
		this.eventDelivery = new EventDelivery(this.rackManager, this.queueManager, this.peers,
				(peer, events) -> this.network.request(peer, events, EventDelivery.PEER_TIMEOUT), this.control);
		this.requestHandler = new SchedulerRequestHandler(this.rackManager, this.queueManager, this.control, time);
		CellStatusCollector collector = new CellStatusCollector(this.session, this.rackManager::summaries, settings,
				this.queueManager, this.tracker, this.control, this.peers, this.network);
		OperatorRoutes routes = new OperatorRoutes(new OperatorAccess(settings.operators()), this.controlLog,
				this.tracker, collector::collect);
		HealthRoutes health = new HealthRoutes(metrics, this::notReady);
		this.operators = new HttpServer(settings.operator(), MAXIMUM_BODY_BYTES, (application) -> {
			health.addTo(application);
			routes.addTo(application);
		});
	}

	void start() {
		this.network.listen();
		this.operators.start();
		this.tracker.onChange((next) -> this.control.execute(() -> update(next)));
		scheduleEvery(SECOND_MILLIS, this::runPeriodicWork);
		scheduleEvery(TICK_INTERVAL_MILLIS, this::tick);
		scheduleEvery(SAMPLE_INTERVAL_MILLIS, this::sampleMetrics);
		LOGGER.log(System.Logger.Level.INFO, "scheduler {0} listens for operators at {1}", this.settings.node().name(),
				this.settings.operatorAddress());
	}

	private void scheduleEvery(int millis, Runnable task) {
		this.control.scheduleWithFixedDelay(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				LOGGER.log(System.Logger.Level.ERROR, "task of the control thread failed; halting the process", ex);
				Runtime.getRuntime().halt(1);
			}
		}, 0, millis, TimeUnit.MILLISECONDS);
	}

	private Optional<String> notReady() {
		return (this.hostList.version() > 0) ? Optional.empty() : Optional.of("the host list has not been read yet");
	}

	private void runPeriodicWork() {
		this.follower.poll();
		this.hostListFollower.poll(this.network, this.settings.node().peerAddresses());
		this.ownership.runRound(requiredOwners());
		this.jobRowBudget.setRowsPerSecond(Math.max(1, JOB_ROWS_PER_SECOND / this.ownership.liveCount()));
		this.announcements.removeUnresponsive(System.nanoTime());
		this.racks.update(this.session, this.rackManager.summaries());
		this.queueManager.setDependenciesSatisfiedElsewhere(this.peers.satisfiedDependencies());
		this.rackManager.sendHeartbeats();
		announce();
		this.activation.runRound(this.racks.areAllRacksKnown());
	}

	private void tick() {
		this.queueManager.tick();
		this.rackManager.sendUrgentCommands();
		this.eventDelivery.deliverPending();
	}

	private void sampleMetrics() {
		int events = this.rackManager.unacknowledgedEvents().values().stream().mapToInt(List::size).sum();
		this.schedulerMetrics.takeSample(this.queueManager.teams().size(), this.queueManager.jobStatuses(),
				WorkersRoom.of(this.rackManager.summaries()), events);
	}

	private void update(ActiveControlState next) {
		this.awaitedDependencies.update(next.text());
		this.queueManager.update(next);
	}

	private void update(HostList list) {
		if (list.version() >= this.hostList.version()) {
			this.hostList = list;
			this.rackManager.update(list);
			this.queueManager.update(list);
			this.racks.updateHosts(list.hosts());
		}
	}

	private Map<String, String> requiredOwners() {
		Map<String, String> failureDomainByKey = new HashMap<>();
		this.hostList.hosts()
			.stream()
			.filter((host) -> host.kind() == HostKind.WORKER)
			.forEach((host) -> failureDomainByKey.put(TableKeys.RACKS + host.rack(), host.failureDomain()));
		for (Team team : this.tracker.activeState().text().teams()) {
			failureDomainByKey.put(TableKeys.QUEUES + team.name(), "");
		}
		return failureDomainByKey;
	}

	private void ownershipChanged(String key, Ownership ownership, boolean isOwned) {
		if (key.startsWith(TableKeys.RACKS)) {
			String rack = key.substring(TableKeys.RACKS.length());
			if (isOwned) {
				this.rackManager.acquireOwnership(rack, ownership.epoch());
			}
			else {
				this.rackManager.releaseOwnership(rack);
			}
			return;
		}
		String team = key.substring(TableKeys.QUEUES.length());
		if (!isOwned) {
			this.queueManager.releaseOwnership(team);
			this.activation.ownershipReleased(team);
		}
		else {
			this.queueManager.acquireOwnership(team, ownership.epoch());
			this.activation.ownershipAcquired(team);
		}
	}

	private void announce() {
		Announcement.Builder announcement = Announcement.newBuilder()
			.setSession(this.session)
			.setRole(ROLE)
			.setAddress(this.settings.node().peerAddress())
			.setFailureDomain(this.settings.node().failureDomain())
			.setVersion(this.tracker.activeState().head().version())
			.addAllTeams(this.queueManager.teams())
			.addAllSatisfied(this.awaitedDependencies.awaitedByOtherOwners(this.queueManager.teams(),
					this.queueManager.satisfiedDependencies()));
		this.rackManager.summaries().forEach((summary) -> announcement.addRacks(PeerCodec.encode(summary)));
		Envelope.Builder envelope = Envelope.newBuilder().setAnnouncement(announcement);
		for (HostAddress peer : this.settings.node().peerAddresses()) {
			this.network.tell(peer, envelope.clone());
		}
	}

	private void claimQueue(String team) {
		this.rackManager.republishRunning(team);
		Envelope.Builder request = Envelope.newBuilder().setQueueClaim(QueueClaim.newBuilder().setTeam(team));
		this.settings.node().peerAddresses().forEach((peer) -> this.network.tell(peer, request.clone()));
	}

	private CompletableFuture<Envelope.Builder> handle(PeerIdentity from, Envelope request) {
		if (request.hasAnnouncement()) {
			Announcement announcement = request.getAnnouncement();
			this.follower.handleAnnouncement(this.network, from.address(), announcement.getVersion());
			this.control.execute(() -> this.announcements.received(announcement, System.nanoTime()));
		}
		if (request.hasHostsRequest()) {
			return CompletableFuture.completedFuture(this.hostListFollower.createReply(request.getHostsRequest()));
		}
		if (request.hasStateRequest()) {
			return CompletableFuture.completedFuture(this.follower.createStateReply());
		}
		return this.requestHandler.handle(request);
	}

	/**
	 * Release the session and close. Tasks on workers continue under the next owner.
	 */
	void drain() {
		try {
			CompletableFuture.supplyAsync(this.ownership::release, this.control)
				.thenCompose((released) -> released)
				.orTimeout(this.settings.drainMillis(), TimeUnit.MILLISECONDS)
				.exceptionally((failure) -> null)
				.join();
		}
		finally {
			this.operators.close();
			this.network.close();
			this.control.shutdownNow();
		}
	}

}
