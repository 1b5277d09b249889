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
 * Backend servers of one service and the slots that this gateway uses on them.
 * Invariants: this gateway uses no more than its share of slots of a server; a leaving
 * server is given no requests; a server is not ejected if fewer than half of the servers
 * would remain; the recorded state of a server belongs to one incarnation. Thread-safe.
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
	 * Create a pool without servers that uses the default server selection and refusal
	 * backoff of gateways.
	 * @param slotsPerServer maximum number of slots of each server that this gateway may
	 * use
	 * @param ownFailureDomain the failure domain of this gateway
	 * @param clock the clock
	 * @param random breaks ties between servers with equal load
	 */
	public BackendPool(int slotsPerServer, String ownFailureDomain, InstantSource clock, UniformRandomProvider random) {
		this(slotsPerServer, ownFailureDomain, clock, new LeastExpectedLoadSelector(random), RefusalBackoff.DEFAULT);
	}

	/**
	 * Create a pool without servers.
	 * @param slotsPerServer maximum number of slots of each server that this gateway may
	 * use
	 * @param ownFailureDomain the failure domain of this gateway
	 * @param clock the clock
	 * @param serverSelector selects the server for each request
	 * @param refusalBackoff backoff after a server has refused a request because it is
	 * full
	 */
	public BackendPool(int slotsPerServer, String ownFailureDomain, InstantSource clock, ServerSelector serverSelector,
			RefusalBackoff refusalBackoff) {
		this.slotsPerServer = slotsPerServer;
		this.ownFailureDomain = ownFailureDomain;
		this.clock = clock;
		this.serverSelector = serverSelector;
		this.refusalBackoff = refusalBackoff;
		this.refusalBudget = refusalBackoff.createBudget();
	}

	/**
	 * Update the servers from the host list.
	 * @param hosts the listed hosts of the service
	 */
	public synchronized void update(Collection<Host> hosts) {
		Set<HostAddress> listed = hosts.stream().map(Host::address).collect(Collectors.toSet());
		this.servers.keySet().retainAll(listed);
		for (Host host : hosts) {
			BackendServer existing = this.servers.get(host.address());
			if (existing == null || !existing.incarnation().equals(host.incarnation())) {
				this.servers.put(host.address(), new BackendServer(host, this.ownFailureDomain));
			}
			else {
				existing.updateState(host.state());
			}
		}
	}

	/**
	 * Acquire a slot of the server that the server selector selects.
	 * @param triedServers servers to exclude because the request has been sent to them
	 * @return the slot, or empty if no server has a free slot
	 */
	public synchronized Optional<BackendSlot> acquire(Set<HostAddress> triedServers) {
		Instant now = this.clock.instant();
		List<BackendServer> available = candidateServers(now).stream()
			.filter((server) -> !triedServers.contains(server.address())
					&& server.hasFreeSlot(now, this.slotsPerServer))
			.toList();
		return this.serverSelector.select(available, now).map(this::occupySlot);
	}

	private List<BackendServer> candidateServers(Instant now) {
		List<BackendServer> activeServers = activeServers();
		List<BackendServer> healthy = activeServers.stream().filter((server) -> !server.isEjected(now)).toList();
		return (healthy.size() * 2 >= activeServers.size()) ? healthy : activeServers;
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
	 * Release a slot and record the result of its attempt.
	 * @param slot the slot, which must be released once only
	 * @param result the result of the attempt
	 */
	public synchronized void release(BackendSlot slot, AttemptResult result) {
		BackendServer server = slot.server();
		server.freeSlot();
		this.inFlight--;
		Instant now = this.clock.instant();
		if (result instanceof AttemptResult.Answered answered) {
			this.refusalBudget.recordRequest();
			server.recordAnswer(now);
			if (answered.status() < SERVER_ERROR) {
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
		List<BackendServer> activeServers = activeServers();
		long ejected = activeServers.stream().filter((server) -> server.isEjected(now)).count();
		return (ejected + 1) * 2 <= activeServers.size();
	}

	/**
	 * Mark servers as leaving that peers have reported as leaving.
	 * @param incarnations the incarnations of the leaving servers
	 */
	public synchronized void markLeaving(Set<String> incarnations) {
		this.servers.values()
			.stream()
			.filter((server) -> incarnations.contains(server.incarnation()))
			.forEach(BackendServer::markLeaving);
	}

	/**
	 * Return the servers that are leaving according to the host list, their own responses
	 * or a peer.
	 * @return the incarnations of the leaving servers
	 */
	public synchronized Set<String> leavingIncarnations() {
		return this.servers.values()
			.stream()
			.filter(BackendServer::isLeaving)
			.map(BackendServer::incarnation)
			.collect(Collectors.toUnmodifiableSet());
	}

	/**
	 * Return whether any server can be given requests, now or once a slot is free.
	 * @return {@code false} if none is listed or all are leaving
	 */
	public synchronized boolean hasActiveServers() {
		return this.servers.values().stream().anyMatch((server) -> !server.isLeaving());
	}

	/**
	 * Return whether there is a candidate server that a request has not been sent to.
	 * @param triedServers servers that the request has been sent to
	 * @return {@code false} if all servers that are neither leaving nor ejected have been
	 * tried
	 */
	public synchronized boolean hasUntriedServer(Set<HostAddress> triedServers) {
		return candidateServers(this.clock.instant()).stream()
			.anyMatch((server) -> !triedServers.contains(server.address()));
	}

	/**
	 * Return the maximum number of slots that this gateway may use.
	 * @return the number of slots on servers that are not leaving
	 */
	public synchronized int slotCapacity() {
		return activeServers().size() * this.slotsPerServer;
	}

	/**
	 * Return the number of slots in use, including slots on servers that are no longer
	 * listed.
	 * @return the number of slots
	 */
	public synchronized int inFlight() {
		return this.inFlight;
	}

}
