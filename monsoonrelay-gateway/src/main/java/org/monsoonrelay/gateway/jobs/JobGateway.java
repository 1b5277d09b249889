package org.monsoonrelay.gateway.jobs;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.monsoonrelay.adapters.http.HttpServer;
import org.monsoonrelay.adapters.http.JsonHttpClient;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.settings.SettingsException;
import org.monsoonrelay.gateway.CallerDrain;
import org.monsoonrelay.logic.customers.CallerAuthentication;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TableFollower;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.pool.PoolClock;
import org.monsoonrelay.logic.submission.JobStates;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.logic.submission.StorageAvailabilityMonitor;
import org.monsoonrelay.logic.submission.SubmissionService;
import org.monsoonrelay.logic.submission.WithdrawalCleaner;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.platform.ConfigurationFollower;
import org.monsoonrelay.platform.HostSettings;
import org.monsoonrelay.platform.JobRoutes;
import org.monsoonrelay.platform.ReadyRoute;

/**
 * The gateway of a host: creates and connects its components. Thread-safe: one timer
 * thread follows the table, requests run on the threads of the server and the client.
 */
public final class JobGateway {

	private static final int MAXIMUM_BODY_BYTES = 262_144;

	/**
	 * Minimum time between two reads of changed states while the owner of the pool sends
	 * them itself. Bounds the delay caused by a lost message, and saves six gateways 60
	 * of their 66 calls per second.
	 */
	private static final Duration NOTIFIED_READ_INTERVAL = Duration.ofMillis(700);

	/**
	 * The same interval for a steady owner, whose messages arrive on open connections.
	 * The known age of a count is up to twice this interval.
	 */
	private static final Duration STEADY_READ_INTERVAL = Duration.ofMillis(1000);

	/**
	 * The same interval while the owner is unresponsive. A state returned to a caller is
	 * older by at most this time.
	 */
	private static final Duration UNNOTIFIED_READ_INTERVAL = Duration.ofMillis(90);

	private static final int DRAIN_CHECK_MILLIS = 20;

	private static final int TRAINING_CALLS = 5;

	private static final int STORAGE_CHECK_MILLIS = 50;

	/** Sorts after the name of every host. */
	private static final String AFTER_LAST_HOST = "~";

	/** Time without requests after which a stopping gateway closes, in milliseconds. */
	private static final long IDLE_MILLIS = 1500;

	/**
	 * Part of the platform's time limit for a planned stop that is reserved for closing,
	 * in milliseconds.
	 */
	private static final long STOP_MARGIN_MILLIS = 900;

	private final HostSettings settings;

	private final ScheduledExecutorService timer = createTimer();

	private final PartitionedTable table;

	private final ConfigurationFollower configuration;

	private final OwnerLink ownerLink;

	private final TableFollower statesFollower;

	private final StorageAvailabilityMonitor storage;

	private final SubmissionService service;

	private final WithdrawalCleaner withdrawals;

	private final CallerDrain drain;

	private final HttpServer callers;

	private final HttpServer readiness;

	/**
	 * Create a gateway.
	 * @param settings the host's settings
	 * @param table the platform's table
	 * @param configuration the configuration in force
	 * @param network the network of the hosts
	 * @param metrics receives counters and timers
	 * @param log receives decisions
	 * @param unreadable records unreadable rows
	 */
	public JobGateway(HostSettings settings, PartitionedTable table, ConfigurationFollower configuration,
			PeerNetwork network, MetricRegistry metrics, DecisionLog log, UnreadableRows unreadable) {
		this.settings = settings;
		this.configuration = configuration;
		this.storage = new StorageAvailabilityMonitor(this::probeTable, System::nanoTime, log);
		this.table = table;
		this.drain = new CallerDrain(System::nanoTime, this.storage::isAvailable);
		JobStates jobStates = new JobStates(unreadable, System::nanoTime);
		this.ownerLink = new OwnerLink(settings.peerAddress(), network, jobStates, System::nanoTime, log,
				this.storage::recordResponse);
		this.statesFollower = new TableFollower(this.table, JobTables.STATES, List.of(JobTables.POOL_PARTITION),
				this::stateReadInterval, this.timer, jobStates);
		this.service = new SubmissionService(this.table, jobStates, this.ownerLink, this.ownerLink, this.storage,
				this.timer, System::nanoTime);
		this.withdrawals = new WithdrawalCleaner(this.table, this.timer, log);
		metrics.gauge("configuration.age.millis", () -> () -> configuration.knownConfiguration().ageMillis());
		metrics.gauge("states.copy.age.millis", () -> jobStates::copyAgeMillis);
		CallerAuthentication authentication = new CallerAuthentication(settings.revocationBoundMillis(), log);
		metrics.gauge("customers.keys.untrusted",
				() -> () -> authentication.isTrusted(configuration.knownConfiguration()) ? 0 : 1);
		JobRoutes routes = new JobRoutes(configuration, authentication, this.service, PoolClock.SYSTEM, log, metrics);
		this.callers = new HttpServer(required(settings.callerAddress(), "callers"), MAXIMUM_BODY_BYTES,
				(application) -> {
					this.drain.addTo(application);
					routes.addTo(application);
				});
		this.readiness = new HttpServer(required(settings.readinessAddress(), "readiness"), MAXIMUM_BODY_BYTES,
				new ReadyRoute(this::notReady)::addTo);
	}

	/**
	 * Record that the table has answered a call.
	 */
	public void tableAnswered() {
		this.storage.recordResponse();
		this.service.recordTableResponse();
	}

	private Duration stateReadInterval() {
		if (this.ownerLink.isOwnerSteady()) {
			return STEADY_READ_INTERVAL;
		}
		return this.ownerLink.isOwnerResponsive() ? NOTIFIED_READ_INTERVAL : UNNOTIFIED_READ_INTERVAL;
	}

	// No such row exists, so that the answer is small.
	private void probeTable() {
		long sentNanos = System.nanoTime();
		this.table.read(JobTables.HOSTS, "", AFTER_LAST_HOST, 1).whenComplete((page, failure) -> {
			if (failure != null) {
				this.storage.recordFailedProbe(sentNanos);
			}
		});
	}

	private static HostAddress required(Optional<HostAddress> address, String field) {
		return address.orElseThrow(() -> new SettingsException("the setting " + field + " is missing"));
	}

	/**
	 * Why the gateway is not ready for callers.
	 * @return the reason, empty if it is ready
	 */
	public Optional<String> notReady() {
		if (this.drain.isStopping()) {
			return Optional.of("stopping");
		}
		if (this.configuration.activeConfiguration().version() == 0) {
			return Optional.of("no configuration is in force yet");
		}
		if (!this.storage.isAvailable()) {
			return Optional.of("jobs cannot be stored");
		}
		return this.configuration.isReachable() ? Optional.empty() : Optional.of("the table does not answer");
	}

	/**
	 * Start serving callers.
	 */
	public void start() {
		this.statesFollower.start();
		this.timer.scheduleWithFixedDelay(this.storage::probeIfDue, STORAGE_CHECK_MILLIS, STORAGE_CHECK_MILLIS,
				TimeUnit.MILLISECONDS);
		this.withdrawals.start();
		this.readiness.start();
		this.callers.start();
	}

	/**
	 * Handle a one-way message of a peer.
	 * @param message the message
	 * @return whether gateways handle this kind of message
	 */
	public boolean handleNotification(Envelope message) {
		return this.ownerLink.handleNotification(message);
	}

	/**
	 * Execute a write for a host whose writes the table rejects.
	 * @param request the host's request
	 * @return the reply
	 */
	public CompletableFuture<Envelope.Builder> handleCommitRequest(Envelope request) {
		return OwnerLink.handleCommitRequest(request.getCommitRequest(), this.table);
	}

	/**
	 * Make a few calls that fail, so that the classes they use are loaded.
	 */
	public void train() {
		JsonHttpClient client = new JsonHttpClient(Duration.ofSeconds(1), Duration.ofSeconds(1), 2);
		for (int i = 0; i < TRAINING_CALLS; i++) {
			client.get(this.settings.callerAddress().orElseThrow().url() + "/none")
				.thenCombine(client.get(this.settings.readinessAddress().orElseThrow().url() + ReadyRoute.PATH),
						(first, second) -> first.code() + second.code())
				.join();
		}
	}

	/**
	 * Report that this gateway is not ready, and serve the requests that still arrive,
	 * until none does or the time for a planned stop is over.
	 */
	public void drain() {
		long startNanos = System.nanoTime();
		this.drain.stop();
		long endNanos = startNanos + TimeUnit.MILLISECONDS
			.toNanos((long) (this.settings.stopSeconds() * TimeUnit.SECONDS.toMillis(1)) - STOP_MARGIN_MILLIS);
		CountDownLatch drained = new CountDownLatch(1);
		this.timer.scheduleWithFixedDelay(() -> {
			if (this.drain.isIdleFor(TimeUnit.MILLISECONDS.toNanos(IDLE_MILLIS)) || System.nanoTime() - endNanos > 0) {
				drained.countDown();
			}
		}, 0, DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
		try {
			drained.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// Each job sets timers for the whole waiting time of its caller and cancels most of
	// them
	// soon, so cancelled timers are removed at once.
	private static ScheduledExecutorService createTimer() {
		ScheduledThreadPoolExecutor timer = new ScheduledThreadPoolExecutor(1, (task) -> new Thread(task, "timer"));
		timer.setRemoveOnCancelPolicy(true);
		return timer;
	}

	/**
	 * Close immediately.
	 */
	public void close() {
		this.callers.close();
		this.readiness.close();
		this.timer.shutdownNow();
	}

}
