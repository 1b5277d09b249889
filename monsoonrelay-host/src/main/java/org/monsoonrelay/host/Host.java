package org.monsoonrelay.host;

import java.lang.management.ManagementFactory;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.monsoonrelay.adapters.http.HealthRoutes;
import org.monsoonrelay.adapters.http.HttpServer;
import org.monsoonrelay.adapters.logging.DecisionMetrics;
import org.monsoonrelay.adapters.logging.DecisionWriter;
import org.monsoonrelay.adapters.peer.PeerException;
import org.monsoonrelay.adapters.peer.PeerIdentity;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.platform.MeteredPartitionedTable;
import org.monsoonrelay.gateway.jobs.JobGateway;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.ProcessDecision;
import org.monsoonrelay.logic.platform.ObservedTable;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.platform.HostProcess;
import org.monsoonrelay.platform.HostSettings;
import org.monsoonrelay.platform.HttpTable;
import org.monsoonrelay.scheduler.pool.PoolScheduler;

/**
 * The process of a host: a gateway and a scheduler that share connections, log and
 * virtual machine, because a second process on a part of a core would delay the next
 * owner after a power loss. Only creates and connects components. Thread-safe.
 */
final class Host implements HostProcess {

	private static final String ROLE = "host";

	private static final int MAXIMUM_BODY_BYTES = 65_536;

	private static final int METRICS_PORT = 9464;

	/**
	 * Delay after the start before metrics are served, in seconds: processor time is
	 * scarce during a start.
	 */
	private static final long METRICS_DELAY_SECONDS = 2;

	private final HostSettings settings;

	private final DecisionWriter log = new DecisionWriter(System.out, System::currentTimeMillis);

	private final PeerNetwork network;

	private final PoolScheduler scheduler;

	private final JobGateway gateway;

	private final HttpServer metricsServer;

	Host(HostSettings settings) {
		this.settings = settings;
		PeerIdentity self = new PeerIdentity(UUID.randomUUID().toString(), ROLE, settings.failureDomain(),
				settings.peerAddress());
		this.network = new PeerNetwork(self, HostSettings.PEER_SECRET, (from, message) -> handle(message));
		MetricRegistry metrics = new MetricRegistry();
		DecisionLog meteredLog = new DecisionMetrics(this.log, metrics);
		UnreadableRows unreadable = new UnreadableRows(meteredLog);
		HttpTable client = new HttpTable(settings.tableAddress(), unreadable);
		PartitionedTable table = new ObservedTable(new MeteredPartitionedTable(client, metrics, System::nanoTime),
				this::tableAnswered);
		metrics.gauge("rows.unreadable", () -> unreadable::count);
		this.scheduler = new PoolScheduler(settings, self, table, this.network, meteredLog, unreadable);
		this.gateway = new JobGateway(settings, table, this.scheduler.configuration(), this.network, metrics,
				meteredLog, unreadable);
		this.metricsServer = new HttpServer(new HostAddress(settings.ip(), METRICS_PORT), MAXIMUM_BODY_BYTES,
				new HealthRoutes(metrics, this.gateway::notReady)::addTo);
	}

	private void tableAnswered() {
		this.gateway.tableAnswered();
	}

	private CompletableFuture<Envelope.Builder> handle(Envelope message) {
		// Both handle an owner's heartbeat.
		boolean isForGateway = this.gateway.handleNotification(message);
		boolean isForScheduler = this.scheduler.handleNotification(message);
		if (isForGateway || isForScheduler) {
			return CompletableFuture.completedFuture(Envelope.newBuilder());
		}
		if (message.hasEligibilityRequest()) {
			return this.scheduler.handleEligibilityRequest(message);
		}
		if (message.hasCommitRequest()) {
			return this.gateway.handleCommitRequest(message);
		}
		return CompletableFuture.failedFuture(new PeerException("a host does not take such a message", null));
	}

	@Override
	public void start() {
		this.log.start();
		this.network.listen();
		this.scheduler.start();
		this.gateway.start();
		Executor delayed = CompletableFuture.delayedExecutor(METRICS_DELAY_SECONDS, TimeUnit.SECONDS);
		CompletableFuture.runAsync(this.metricsServer::start, delayed).exceptionally((failure) -> {
			this.log.write(new ProcessDecision.DependencyLost("metrics", String.valueOf(failure.getMessage())));
			return null;
		});
		this.log.write(new ProcessDecision.ProcessStarted(ROLE, this.settings.host(), this.settings.failureDomain(),
				ManagementFactory.getRuntimeMXBean().getUptime()));
	}

	@Override
	public void train() {
		PeerTraining.run(this.settings, this.network);
		this.scheduler.train();
		this.gateway.train();
	}

	@Override
	public void settingsReloaded(String outcome) {
		this.log.write(new ProcessDecision.SettingsReloaded(ROLE, outcome));
	}

	// Releases the pool while callers are still served.
	@Override
	public void stop() {
		long startNanos = System.nanoTime();
		this.log.write(new ProcessDecision.ProcessStopping(ROLE, 0));
		CompletableFuture<Void> released = this.scheduler.release();
		this.gateway.drain();
		released.join();
		this.gateway.close();
		this.network.close();
		this.scheduler.close();
		this.metricsServer.close();
		this.log.write(new ProcessDecision.ProcessStopped(ROLE,
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos)));
		this.log.close();
	}

}
