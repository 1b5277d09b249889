package org.monsoonrelay.gateway.jobs;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.monsoonrelay.adapters.http.HealthRoutes;
import org.monsoonrelay.adapters.http.HttpServer;
import org.monsoonrelay.adapters.http.JsonHttpClient;
import org.monsoonrelay.adapters.logging.DecisionWriter;
import org.monsoonrelay.adapters.peer.PeerIdentity;
import org.monsoonrelay.adapters.settings.SettingsException;
import org.monsoonrelay.gateway.CallerDrain;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.platform.TableFollower;
import org.monsoonrelay.logic.pool.PoolClock;
import org.monsoonrelay.logic.submission.JobStates;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.logic.submission.SubmissionService;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.platform.ConfigurationFeed;
import org.monsoonrelay.platform.HostProcess;
import org.monsoonrelay.platform.HostSettings;
import org.monsoonrelay.platform.HttpTable;
import org.monsoonrelay.platform.JobRoutes;
import org.monsoonrelay.platform.ReadyRoute;

/**
 * One gateway process: composition only. Thread-safe; one timer thread follows the table,
 * traffic runs on the server's and the client's threads.
 */
final class JobGateway implements HostProcess {

	private static final String ROLE = "gateway";

	private static final int MAXIMUM_BODY_BYTES = 262_144;

	private static final int METRICS_PORT = 9464;

	/**
	 * Least time between two reads of changed states while the owner of the pool tells
	 * them itself: bounds what a lost message costs. Spares six gateways 60 of their 66
	 * calls a second.
	 */
	private static final Duration TOLD_SPACING = Duration.ofMillis(700);

	/**
	 * The same while the owner is not heard of; a state read by a caller is this much
	 * older at most.
	 */
	private static final Duration STATES_SPACING = Duration.ofMillis(90);

	private static final int DRAIN_CHECK_MILLIS = 20;

	private static final int REHEARSALS = 5;

	/** A stopping gateway leaves when no request has come for this long. */
	private static final long QUIET_MILLIS = 1500;

	/** Time kept back from the platform's limit for a planned stop, milliseconds. */
	private static final long STOP_MARGIN_MILLIS = 900;

	private final HostSettings settings;

	private final DecisionWriter log = new DecisionWriter(System.out, System::currentTimeMillis);

	private final ScheduledExecutorService timer = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "timer"));

	private final ConfigurationFeed configuration;

	private final OwnerLink owner;

	private final TableFollower states;

	private final CallerDrain drain = new CallerDrain(System::nanoTime);

	private final HttpServer callers;

	private final HttpServer readiness;

	private final HttpServer metricsServer;

	JobGateway(HostSettings settings) {
		this.settings = settings;
		MetricRegistry metrics = new MetricRegistry();
		HttpTable table = new HttpTable(settings.tableAddress());
		JobStates known = new JobStates();
		this.configuration = new ConfigurationFeed(table, this.timer, this.log, (inForce) -> {
		});
		PeerIdentity self = new PeerIdentity(UUID.randomUUID().toString(), ROLE, settings.failureDomain(),
				settings.gatewayPeerAddress());
		this.owner = new OwnerLink(self, HostSettings.PEER_SECRET, known, System::nanoTime, this.log);
		this.states = new TableFollower(table, JobTables.PROGRESS, List.of(JobTables.POOL_PARTITION),
				() -> this.owner.isFresh() ? TOLD_SPACING : STATES_SPACING, this.timer, known);
		SubmissionService service = new SubmissionService(table, known, this.owner, this.timer, System::nanoTime);
		JobRoutes routes = new JobRoutes(this.configuration::inForce, service, PoolClock.SYSTEM, this.log, metrics);
		this.callers = new HttpServer(required(settings.callerAddress(), "callers"), MAXIMUM_BODY_BYTES,
				(application) -> {
					this.drain.addTo(application);
					routes.addTo(application);
				});
		this.readiness = new HttpServer(required(settings.readinessAddress(), "readiness"), MAXIMUM_BODY_BYTES,
				new ReadyRoute(this::notReady)::addTo);
		this.metricsServer = new HttpServer(new HostAddress(settings.ip(), METRICS_PORT), MAXIMUM_BODY_BYTES,
				new HealthRoutes(metrics, this::notReady)::addTo);
	}

	private static HostAddress required(Optional<HostAddress> address, String field) {
		return address.orElseThrow(() -> new SettingsException("the setting " + field + " is missing"));
	}

	private Optional<String> notReady() {
		if (this.drain.isStopping()) {
			return Optional.of("stopping");
		}
		if (this.configuration.inForce().version() == 0) {
			return Optional.of("no configuration is in force yet");
		}
		return this.configuration.isReachable() ? Optional.empty() : Optional.of("the table does not answer");
	}

	@Override
	public void start() {
		this.log.start();
		this.owner.listen();
		this.configuration.start();
		this.states.start();
		this.readiness.start();
		this.callers.start();
		this.metricsServer.start();
		this.log.write(new Decision.ProcessStarted(ROLE, this.settings.host(), this.settings.failureDomain(),
				ManagementFactory.getRuntimeMXBean().getUptime()));
	}

	@Override
	public void rehearse() {
		JsonHttpClient client = new JsonHttpClient(Duration.ofSeconds(1), Duration.ofSeconds(1), 2);
		for (int i = 0; i < REHEARSALS; i++) {
			client.get(this.settings.callerAddress().orElseThrow().url() + "/none")
				.thenCombine(client.get(this.settings.readinessAddress().orElseThrow().url() + ReadyRoute.PATH),
						(first, second) -> first.code() + second.code())
				.join();
		}
	}

	@Override
	public void reloaded(String outcome) {
		this.log.write(new Decision.SettingsReloaded(ROLE, outcome));
	}

	// Tells the platform to send callers elsewhere and serves those that still come.
	@Override
	public void stop() {
		long begun = System.nanoTime();
		this.drain.stop();
		this.log.write(new Decision.ProcessStopping(ROLE, 0));
		long endNanos = begun + TimeUnit.MILLISECONDS
			.toNanos((long) (this.settings.stopSeconds() * TimeUnit.SECONDS.toMillis(1)) - STOP_MARGIN_MILLIS);
		CountDownLatch drained = new CountDownLatch(1);
		this.timer.scheduleWithFixedDelay(() -> {
			if (this.drain.isQuietFor(TimeUnit.MILLISECONDS.toNanos(QUIET_MILLIS))
					|| System.nanoTime() - endNanos > 0) {
				drained.countDown();
			}
		}, 0, DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
		try {
			drained.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.callers.close();
		this.readiness.close();
		this.metricsServer.close();
		this.owner.close();
		this.timer.shutdownNow();
		this.log.write(new Decision.ProcessStopped(ROLE, TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun)));
		this.log.close();
	}

}
