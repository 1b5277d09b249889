package org.monsoonrelay.gateway;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import org.apache.commons.rng.simple.RandomSource;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.idempotency.IdempotentRequestRouter;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.logic.routing.BackendClient;
import org.monsoonrelay.logic.routing.BackendPool;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.logic.routing.RetryBudget;
import org.monsoonrelay.logic.routing.ServiceRouter;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.request.RequestOutcome;
import org.monsoonrelay.model.workload.ServiceDeclaration;

/**
 * Routes requests through one router for each declared service. Thread-safe.
 */
final class GatewayServices {

	static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final double RETRIES_PER_REQUEST = 0.1;

	private static final double RETRY_CAPACITY = 20;

	private final GatewaySettings settings;

	private final ControlTracker tracker;

	private final BackendClient client;

	private final InstantSource clock;

	private final IdempotentRequestRouter idempotent;

	private final Map<String, ServiceRouter> routers = new ConcurrentHashMap<>();

	private volatile HostList hosts = new HostList(0, List.of());

	GatewayServices(GatewaySettings settings, ControlTracker tracker, BackendClient client, TableService table,
			InstantSource clock) {
		this.settings = settings;
		this.tracker = tracker;
		this.client = client;
		this.clock = clock;
		this.idempotent = new IdempotentRequestRouter(table, this::route, clock, RETRY_AFTER);
	}

	Optional<ServiceDeclaration> declaration(String service) {
		return this.tracker.activeState().text().service(service);
	}

	/**
	 * Route a request that may have an idempotency key. Repeatable requests need no key:
	 * theirs is only forwarded.
	 * @param request the request
	 * @param key the key, if the caller gave one
	 * @return the outcome; never fails
	 */
	CompletableFuture<RequestOutcome> route(ForwardedRequest request, Optional<String> key) {
		return (key.isPresent() && !request.operation().repeatable()) ? this.idempotent.route(key.get(), request)
				: route(request);
	}

	private CompletableFuture<RequestOutcome> route(ForwardedRequest request) {
		return this.routers.computeIfAbsent(request.service(), this::createRouter).route(request);
	}

	private ServiceRouter createRouter(String service) {
		BackendPool pool = new BackendPool(this.settings.slotShare(), this.settings.node().failureDomain(), this.clock,
				RandomSource.XO_RO_SHI_RO_128_PP.create());
		pool.update(backendServers(this.hosts, service));
		return new ServiceRouter(pool, this.client, new RetryBudget(RETRIES_PER_REQUEST, RETRY_CAPACITY), this.clock,
				this.settings.maximumWaiting(), Duration.ofMillis(this.settings.attemptLimitMillis()));
	}

	void updateHosts(HostList list) {
		if (list.version() < this.hosts.version()) {
			return;
		}
		this.hosts = list;
		this.routers.forEach((service, router) -> router.pool().update(backendServers(list, service)));
	}

	private static List<Host> backendServers(HostList list, String service) {
		return list.hosts()
			.stream()
			.filter((host) -> host.kind() == HostKind.BACKEND_SERVER && host.service().equals(service))
			.toList();
	}

	/**
	 * Mark the backend servers that a peer reports as leaving.
	 * @param incarnations incarnations of the leaving servers
	 */
	void markLeaving(Set<String> incarnations) {
		this.routers.values().forEach((router) -> router.pool().markLeaving(incarnations));
	}

	/**
	 * The backend servers that are leaving, as reported by themselves or by a peer.
	 * @return their incarnations
	 */
	Set<String> leavingIncarnations() {
		return this.routers.values()
			.stream()
			.flatMap((router) -> router.pool().leavingIncarnations().stream())
			.collect(Collectors.toUnmodifiableSet());
	}

	void refuseExpired() {
		this.routers.values().forEach(ServiceRouter::refuseExpired);
	}

	void retryDelayedWrites() {
		this.idempotent.retryDelayedWrites();
	}

	int unfinishedCount() {
		return this.idempotent.pendingWrites()
				+ this.routers.values().stream().mapToInt((router) -> router.waitingCount() + router.inFlight()).sum();
	}

	boolean hasHosts() {
		return !this.hosts.hosts().isEmpty();
	}

}
