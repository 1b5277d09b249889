package org.monsoonrelay.gateway;

import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import com.codahale.metrics.MetricRegistry;
import org.monsoonrelay.adapters.http.HealthRoutes;
import org.monsoonrelay.adapters.http.HttpServer;
import org.monsoonrelay.adapters.node.ControlFollower;
import org.monsoonrelay.adapters.node.HostListFollower;
import org.monsoonrelay.adapters.node.ProcessMetrics;
import org.monsoonrelay.adapters.peer.PeerIdentity;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Announcement;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Empty;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.platform.HttpBackendClient;
import org.monsoonrelay.adapters.platform.HttpPlatform;
import org.monsoonrelay.logic.control.ControlLog;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;

/**
 * A gateway process: creates and connects its components. Thread-safe: one timer thread
 * does the periodic work, requests run on the threads of servers and clients.
 */
final class Gateway {

	private static final System.Logger LOGGER = System.getLogger(Gateway.class.getName());

	private static final String ROLE = "gateway";

	private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);

	private static final int MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;

	private static final int EXPIRY_INTERVAL_MILLIS = 2;

	private static final int POLL_INTERVAL_MILLIS = 1000;

	private static final int DRAIN_CHECK_MILLIS = 10;

	private static final long IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	private final GatewaySettings settings;

	private final ControlTracker tracker = new ControlTracker();

	private final ControlFollower follower;

	private final HttpPlatform platform;

	private final HttpBackendClient client;

	private final HostListFollower hostList;

	private final GatewayServices services;

	private final CallerRoutes callerRoutes;

	private final CallerDrain callerDrain = new CallerDrain(System::nanoTime);

	private final PeerNetwork network;

	private final HttpServer callers;

	private final HttpServer admin;

	private final String session = UUID.randomUUID().toString();

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "timer"));

	Gateway(GatewaySettings settings) {
		this.settings = settings;
		Clock clock = Clock.systemUTC();
		MetricRegistry metrics = new MetricRegistry();
		ProcessMetrics.addTo(metrics, this.tracker);
		this.platform = new HttpPlatform(settings.node().platformAddress(), PLATFORM_TIMEOUT);
		this.follower = new ControlFollower(new ControlLog(this.platform, this.platform, clock), this.tracker);
		this.hostList = new HostListFollower(this.platform, this::updateHosts);
		this.client = new HttpBackendClient(clock);
		this.services = new GatewayServices(settings, this.tracker, this.client, this.platform, clock);
		this.callerRoutes = new CallerRoutes(this.services, clock, () -> UUID.randomUUID().toString(), metrics,
				new UnknownOutcomeLog(clock));
		PeerIdentity self = new PeerIdentity(this.session, ROLE, settings.node().failureDomain(),
				settings.node().peerListenAddress());
		this.network = new PeerNetwork(self, settings.node().secret(), this::handle);
		this.callers = new HttpServer(settings.caller(), MAXIMUM_BODY_BYTES, (application) -> {
			this.callerDrain.addTo(application);
			this.callerRoutes.addTo(application);
		});
		this.admin = new HttpServer(settings.admin(), MAXIMUM_BODY_BYTES,
				new HealthRoutes(metrics, this::notReady)::addTo);
	}

	void start() {
		this.network.listen();
		this.admin.start();
		this.callers.start();
		this.timer.scheduleWithFixedDelay(this::poll, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		this.timer.scheduleWithFixedDelay(this.services::refuseExpired, EXPIRY_INTERVAL_MILLIS, EXPIRY_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
		LOGGER.log(System.Logger.Level.INFO, "gateway {0} listens for callers at {1}", this.settings.node().name(),
				this.settings.callerAddress());
	}

	private Optional<String> notReady() {
		if (this.callerDrain.isStopping()) {
			return Optional.of("stopping");
		}
		if (this.tracker.activeState().head().version() == 0) {
			return Optional.of("no text is in force yet");
		}
		return this.services.hasHosts() ? Optional.empty() : Optional.of("the host list has not been read yet");
	}

	private void poll() {
		this.follower.poll();
		this.services.retryDelayedWrites();
		this.hostList.poll(this.network, this.settings.node().peerAddresses());
		Envelope.Builder announcement = Envelope.newBuilder()
			.setAnnouncement(Announcement.newBuilder()
				.setSession(this.session)
				.setRole(ROLE)
				.setAddress(this.settings.node().peerAddress())
				.setFailureDomain(this.settings.node().failureDomain())
				.setVersion(this.tracker.activeState().head().version())
				.addAllLeavingBackendServers(this.services.leavingIncarnations()));
		for (HostAddress peer : this.settings.node().peerAddresses()) {
			this.network.tell(peer, announcement.clone());
		}
	}

	private void updateHosts(HostList hosts) {
		this.services.updateHosts(hosts);
		this.client.retain(hosts.hosts().stream().map(Host::address).collect(Collectors.toSet()));
	}

	private CompletableFuture<Envelope.Builder> handle(PeerIdentity from, Envelope request) {
		if (request.hasAnnouncement()) {
			this.follower.handleAnnouncement(this.network, from.address(), request.getAnnouncement().getVersion());
			this.services.markLeaving(Set.copyOf(request.getAnnouncement().getLeavingBackendServersList()));
		}
		if (request.hasHostsRequest()) {
			return CompletableFuture.completedFuture(this.hostList.createReply(request.getHostsRequest()));
		}
		Envelope.Builder reply = request.hasStateRequest() ? this.follower.createStateReply()
				: Envelope.newBuilder().setEmpty(Empty.getDefaultInstance());
		return CompletableFuture.completedFuture(reply);
	}

	/**
	 * Refuse new requests, wait until requests in flight have ended and no more requests
	 * arrive, at most for the drain time, then close.
	 */
	void drain() {
		this.callerRoutes.stop();
		this.callerDrain.stop();
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.settings.drainMillis());
		CompletableFuture<Void> drained = new CompletableFuture<>();
		this.timer.scheduleWithFixedDelay(() -> {
			boolean isDone = this.services.unfinishedCount() == 0 && this.callerDrain.isIdleFor(IDLE_NANOS);
			if (isDone || System.nanoTime() - endNanos > 0) {
				drained.complete(null);
			}
		}, 0, DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
		drained.join();
		this.callers.close();
		this.admin.close();
		this.network.close();
		this.timer.shutdownNow();
	}

}
