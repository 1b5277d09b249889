package org.monsoonrelay.scheduler.pool;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.monsoonrelay.adapters.http.HealthRoutes;
import org.monsoonrelay.adapters.http.HttpServer;
import org.monsoonrelay.adapters.logging.DecisionWriter;
import org.monsoonrelay.adapters.peer.PeerException;
import org.monsoonrelay.adapters.peer.PeerIdentity;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Empty;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.JobAccepted;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.OwnerReleased;
import org.monsoonrelay.adapters.settings.SettingsException;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.pool.HostRecord;
import org.monsoonrelay.logic.pool.LookOrder;
import org.monsoonrelay.logic.pool.OwnerElection;
import org.monsoonrelay.logic.pool.JobIntake;
import org.monsoonrelay.logic.pool.OwnerPeers;
import org.monsoonrelay.logic.pool.OwnerRecord;
import org.monsoonrelay.logic.pool.PoolClock;
import org.monsoonrelay.logic.pool.PoolOwner;
import org.monsoonrelay.logic.pool.PoolPorts;
import org.monsoonrelay.logic.pool.TakeOver;
import org.monsoonrelay.logic.pool.WorkerInfo;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.platform.ConfigurationFeed;
import org.monsoonrelay.platform.HostListFeed;
import org.monsoonrelay.platform.HostProcess;
import org.monsoonrelay.platform.HostSettings;
import org.monsoonrelay.platform.HttpEligibility;
import org.monsoonrelay.platform.HttpTable;
import org.monsoonrelay.platform.HttpWorkerOrders;

/**
 * One scheduler process: composition only. It stands ready to own the pool and makes
 * calls for the owner. All control state is touched on the control thread alone.
 */
final class PoolScheduler implements HostProcess {

	private static final String ROLE = "scheduler";

	private static final int MAXIMUM_BODY_BYTES = 65_536;

	private static final int METRICS_PORT = 9465;

	private static final int REHEARSALS = 5;

	/** How long a stopping owner may take to give the pool up, milliseconds. */
	private static final long RELEASE_MILLIS = 4000;

	private final HostSettings settings;

	private final DecisionWriter log = new DecisionWriter(System.out, System::currentTimeMillis);

	private final ScheduledExecutorService control = new ControlThread();

	private final PeerNetwork network;

	private final PeerEligibility eligibility;

	private final HostRegistry registry;

	private final HttpTable table;

	private final OwnerPeers peers;

	private final JobIntake jobs;

	private final OwnerElection election;

	private final PoolPorts ports;

	private final HttpServer metricsServer;

	private final CountDownLatch released = new CountDownLatch(1);

	private Optional<Term> term = Optional.empty();

	PoolScheduler(HostSettings settings) {
		this.settings = settings;
		this.table = new HttpTable(settings.tableAddress());
		String incarnation = UUID.randomUUID().toString();
		HostAddress peerAddress = settings.schedulerPeerAddress();
		this.network = new PeerNetwork(new PeerIdentity(incarnation, ROLE, settings.failureDomain(), peerAddress),
				HostSettings.PEER_SECRET, (from, request) -> handle(request));
		HostRecord self = new HostRecord(settings.host(), settings.failureDomain(), peerAddress.toString(),
				settings.gatewayPeerAddress().toString(), incarnation);
		this.registry = new HostRegistry(this.table, this.control, self, new HostListener());
		HttpEligibility service = new HttpEligibility(settings.eligibilityAddress()
			.orElseThrow(() -> new SettingsException("the setting eligibility is missing")));
		this.eligibility = new PeerEligibility(settings.host(), service, this.network, this.registry::address);
		this.ports = new PoolPorts(this.table, new HttpWorkerOrders(), this.eligibility, this.control, PoolClock.SYSTEM,
				this.log);
		this.peers = new OwnerMessages(this.network, peerAddress, this.registry::peers, this.registry::gateways);
		this.jobs = new JobIntake(this.table, this.control);
		this.election = new OwnerElection(this.ports, incarnation, settings.host(), this::won);
		MetricRegistry metrics = new MetricRegistry();
		this.metricsServer = new HttpServer(new HostAddress(settings.ip(), METRICS_PORT), MAXIMUM_BODY_BYTES,
				new HealthRoutes(metrics, Optional::empty)::addTo);
	}

	@Override
	public void start() {
		this.log.start();
		this.network.listen();
		this.registry.start();
		this.control.execute(this.jobs::start);
		this.election.start();
		this.metricsServer.start();
		this.log.write(new Decision.ProcessStarted(ROLE, this.settings.host(), this.settings.failureDomain(),
				ManagementFactory.getRuntimeMXBean().getUptime()));
	}

	private CompletableFuture<Envelope.Builder> handle(Envelope request) {
		if (request.hasEligibilityRequest()) {
			Duration remaining = Duration.ofMillis(Math.max(1, request.getRemainingMillis()));
			return this.eligibility.answer(request.getEligibilityRequest(), remaining);
		}
		Optional<Runnable> news = news(request);
		if (news.isPresent()) {
			this.control.execute(news.get());
			return CompletableFuture.completedFuture(Envelope.newBuilder().setEmpty(Empty.getDefaultInstance()));
		}
		return CompletableFuture.failedFuture(new PeerException("this scheduler does not take such a message", null));
	}

	private Optional<Runnable> news(Envelope message) {
		return switch (message.getBodyCase()) {
			case TAKE_OVER_REQUEST -> Optional.of(() -> this.election.invited(message.getTakeOverRequest().getEpoch()));
			case OWNER_ALIVE -> Optional.of(() -> this.election.heard(message.getOwnerAlive().getEpoch()));
			case OWNER_RELEASED -> Optional.of(() -> released(message.getOwnerReleased()));
			case JOB_ACCEPTED -> Optional.of(() -> accepted(message.getJobAccepted()));
			case JOB_CANCELLED -> Optional.of(() -> this.term
				.ifPresent((present) -> present.owner().cancelled(message.getJobCancelled().getJob())));
			default -> Optional.empty();
		};
	}

	private void released(OwnerReleased message) {
		this.election.released(Json.read(message.getRecordJson(), OwnerRecord.class), message.getVersion());
	}

	private void accepted(JobAccepted message) {
		this.term.ifPresent((present) -> present.owner()
			.accepted(Json.read(message.getSubmissionJson(), Submission.class), message.getVersion()));
	}

	private void won(TakeOver taken) {
		PoolOwner owner = new PoolOwner(this.ports, this.jobs, taken, this.peers, this::over);
		Term next = new Term(owner, new ConfigurationFeed(this.table, this.control, this.log, owner::configure),
				new HostListFeed(this.table, this.control, owner::workers));
		this.term = Optional.of(next);
		owner.hosts(this.registry.names());
		owner.start();
		next.configuration().start();
		next.hostList().start();
		this.registry.follow();
	}

	private void over(String reason) {
		this.term.ifPresent((ended) -> {
			ended.configuration().close();
			ended.hostList().close();
		});
		this.registry.close();
		this.term = Optional.empty();
		this.released.countDown();
	}

	@Override
	public void rehearse() {
		WorkerInfo nobody = new WorkerInfo("none", "none", this.settings.table(), "none", Resources.NONE, List.of(),
				"none", false, 0);
		LookOrder look = new LookOrder(0, 0, OptionalLong.empty(), Duration.ZERO);
		for (int i = 0; i < REHEARSALS; i++) {
			this.ports.orders().look(nobody, look).join();
			this.ports.table().commit(PartitionWrite.to("none")).join();
		}
	}

	@Override
	public void reloaded(String outcome) {
		this.log.write(new Decision.SettingsReloaded(ROLE, outcome));
	}

	// Gives the pool up first, if it is owned here.
	@Override
	public void stop() {
		long begun = System.nanoTime();
		this.log.write(new Decision.ProcessStopping(ROLE, 0));
		this.control.execute(() -> {
			this.election.close();
			this.term.ifPresentOrElse((present) -> present.owner().release(), this.released::countDown);
		});
		try {
			this.released.await(RELEASE_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.control.shutdownNow();
		this.network.close();
		this.metricsServer.close();
		this.log.write(new Decision.ProcessStopped(ROLE, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun)));
		this.log.close();
	}

	private final class HostListener implements HostRegistry.Listener {

		@Override
		public void known(List<String> hosts) {
			PoolScheduler.this.term.ifPresent((present) -> present.owner().hosts(hosts));
		}

		@Override
		public void restarted(String host) {
			PoolScheduler.this.term.ifPresent((present) -> present.owner().hostRestarted(host));
		}

	}

	// Only an owner reads the configuration and the lists of workers and hosts.
	private record Term(PoolOwner owner, ConfigurationFeed configuration, HostListFeed hostList) {

	}

}
