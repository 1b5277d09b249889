package org.monsoonrelay.logic.routing;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.apache.commons.rng.UniformRandomProvider;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;

/**
 * The backend servers of one service and the slots this gateway uses on them. Invariants:
 * no server gets more than its share of slots from this gateway; a leaving server gets
 * none; no server is ejected while that would leave less than half of the servers;
 * everything known of a server belongs to one incarnation. Thread-safe.
 */
public final class BackendPool {

	private static final int SERVER_ERROR = 500;

	private final int slotsPerServer;

	private final String ownFailureDomain;

	private final InstantSource clock;

	private final ServerSelector serverSelector;

	private final RefusalBackoff refusalBackoff;

	private final RetryBudget refusalBudget;

	private final Map<HostAddress, BackendServer> servers = new LinkedHashMap<>();

	private int inFlight;

	/**
	 * Create a pool without servers, with the choice and the pause that gateways use.
	 * @param slotsEach slots of one server that this gateway may use at most
	 * @param ownFailureDomain the failure domain of this gateway
	 * @param clock the time
	 * @param random decides between servers that are alike
	 */
	public BackendPool(int slotsEach, String ownFailureDomain, InstantSource clock, UniformRandomProvider random) {
		this(slotsEach, ownFailureDomain, clock, new LeastExpectedLoadSelector(random), RefusalBackoff.DEFAULT);
	}

	/**
	 * Create a pool without servers.
	 * @param slotsEach slots of one server that this gateway may use at most
	 * @param ownFailureDomain the failure domain of this gateway
	 * @param clock the time
	 * @param choice chooses among the servers
	 * @param pause what happens after a server refused as full
	 */
	public BackendPool(int slotsEach, String ownFailureDomain, InstantSource clock, ServerSelector choice,
			RefusalBackoff pause) {
		this.slotsPerServer = slotsEach;
		this.ownFailureDomain = ownFailureDomain;
		this.clock = clock;
		this.serverSelector = choice;
		this.refusalBackoff = pause;
		this.refusalBudget = pause.createBudget();
	}

	/**
	 * Take in the hosts that the host list has for the service.
	 * @param hosts the hosts
	 */
	public synchronized void update(Collection<Host> hosts) {
		Set<HostAddress> listed = hosts.stream().map(Host::address).collect(Collectors.toSet());
		this.servers.keySet().retainAll(listed);
		for (Host host : hosts) {
			BackendServer present = this.servers.get(host.address());
			if (present == null || !present.incarnation().equals(host.incarnation())) {
				this.servers.put(host.address(), new BackendServer(host, this.ownFailureDomain));
			}
			else {
				present.updateState(host.state());
			}
		}
	}

	/**
	 * Take a slot of the server that the pool's choice names.
	 * @param tried servers that this request has tried already
	 * @return the slot, or empty if none is free
	 */
	public synchronized Optional<BackendSlot> acquire(Set<HostAddress> tried) {
		Instant now = this.clock.instant();
		List<BackendServer> able = candidateServers(now).stream()
			.filter((server) -> !tried.contains(server.address()) && server.hasFreeSlot(now, this.slotsPerServer))
			.toList();
		return this.serverSelector.select(able, now).map(this::occupySlot);
	}

	private List<BackendServer> candidateServers(Instant now) {
		List<BackendServer> staying = activeServers();
		List<BackendServer> healthy = staying.stream().filter((server) -> !server.isEjected(now)).toList();
		return (healthy.size() * 2 >= staying.size()) ? healthy : staying;
	}

	private List<BackendServer> activeServers() {
		return this.servers.values().stream().filter((server) -> !server.isLeaving()).toList();
	}

	private BackendSlot occupySlot(BackendServer chosen) {
		chosen.occupySlot();
		this.inFlight++;
		return new BackendSlot(chosen);
	}

	/**
	 * Give a slot back.
	 * @param slot the slot
	 * @param result how the attempt ended
	 */
	public synchronized void release(BackendSlot slot, AttemptResult result) {
		BackendServer server = slot.server();
		server.freeSlot();
		this.inFlight--;
		Instant now = this.clock.instant();
		if (result instanceof AttemptResult.Answered whole) {
			this.refusalBudget.recordRequest();
			server.recordAnswer(now);
			if (whole.status() < SERVER_ERROR) {
				server.recordSuccess();
			}
			else if (server.recordServerError() && canEject(now)) {
				server.eject(now);
			}
		}
		else if (result instanceof AttemptResult.Refused refused) {
			if (refused.leaving()) {
				server.markLeaving();
			}
			else {
				server.recordRefusal(now, this.refusalBudget.tryAcquire() ? this.refusalBackoff.normalDelay()
						: this.refusalBackoff.overloadDelay());
			}
		}
		else if (!(result instanceof AttemptResult.StaleConnection) && server.recordFailure() && canEject(now)) {
			server.eject(now);
		}
	}

	private boolean canEject(Instant now) {
		List<BackendServer> staying = activeServers();
		long ejected = staying.stream().filter((server) -> server.isEjected(now)).count();
		return (ejected + 1) * 2 <= staying.size();
	}

	/**
	 * Take in what peers say of leaving servers.
	 * @param incarnations incarnations of leaving servers
	 */
	public synchronized void markLeaving(Set<String> incarnations) {
		this.servers.values()
			.stream()
			.filter((server) -> incarnations.contains(server.incarnation()))
			.forEach(BackendServer::markLeaving);
	}

	/**
	 * The servers that are leaving, by whichever word came first.
	 * @return their incarnations
	 */
	public synchronized Set<String> leavingIncarnations() {
		return this.servers.values()
			.stream()
			.filter(BackendServer::isLeaving)
			.map(BackendServer::incarnation)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Tell whether any server may be given work, now or when a slot comes free.
	 * @return {@code false} if none is listed or all are leaving
	 */
	public synchronized boolean hasActiveServers() {
		return this.servers.values().stream().anyMatch((server) -> !server.isLeaving());
	}

	/**
	 * Tell whether a request has a server left that it has not tried.
	 * @param tried servers that it has tried
	 * @return {@code false} if each server that is neither leaving nor ejected has been
	 * tried
	 */
	public synchronized boolean hasUntriedServer(Set<HostAddress> tried) {
		return candidateServers(this.clock.instant()).stream().anyMatch((server) -> !tried.contains(server.address()));
	}

	/**
	 * Number of slots this gateway may use at most.
	 * @return the count
	 */
	public synchronized int slotCapacity() {
		return activeServers().size() * this.slotsPerServer;
	}

	/**
	 * Number of slots in use, those on servers that the host list has dropped included.
	 * @return the count
	 */
	public synchronized int inFlight() {
		return this.inFlight;
	}

}
