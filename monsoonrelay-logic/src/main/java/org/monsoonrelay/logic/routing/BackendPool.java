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

	private final int slotsEach;

	private final String ownFailureDomain;

	private final InstantSource clock;

	private final ServerChoice choice;

	private final RefusalPause pause;

	private final RetryBudget refusals;

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
		this(slotsEach, ownFailureDomain, clock, new LeastExpectedLoadChoice(random), RefusalPause.DEFAULT);
	}

	/**
	 * Create a pool without servers.
	 * @param slotsEach slots of one server that this gateway may use at most
	 * @param ownFailureDomain the failure domain of this gateway
	 * @param clock the time
	 * @param choice chooses among the servers
	 * @param pause what happens after a server refused as full
	 */
	public BackendPool(int slotsEach, String ownFailureDomain, InstantSource clock, ServerChoice choice,
			RefusalPause pause) {
		this.slotsEach = slotsEach;
		this.ownFailureDomain = ownFailureDomain;
		this.clock = clock;
		this.choice = choice;
		this.pause = pause;
		this.refusals = pause.budget();
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
				present.listed(host.state());
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
		List<BackendServer> able = candidates(now).stream()
			.filter((server) -> !tried.contains(server.address()) && server.hasRoom(now, this.slotsEach))
			.toList();
		return this.choice.choose(able, now).map(this::begin);
	}

	private List<BackendServer> candidates(Instant now) {
		List<BackendServer> staying = staying();
		List<BackendServer> healthy = staying.stream().filter((server) -> !server.isEjected(now)).toList();
		return (healthy.size() * 2 >= staying.size()) ? healthy : staying;
	}

	private List<BackendServer> staying() {
		return this.servers.values().stream().filter((server) -> !server.isLeaving()).toList();
	}

	private BackendSlot begin(BackendServer chosen) {
		chosen.begin();
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
		server.end();
		this.inFlight--;
		Instant now = this.clock.instant();
		if (result instanceof AttemptResult.Whole whole) {
			this.refusals.request();
			server.answered(now);
			if (whole.status() < SERVER_ERROR) {
				server.succeeded();
			}
			else if (server.answeredWithError() && mayEject(now)) {
				server.eject(now);
			}
		}
		else if (result instanceof AttemptResult.Refused refused) {
			if (refused.leaving()) {
				server.leave();
			}
			else {
				server.refused(now, this.refusals.tryRetry() ? this.pause.brief() : this.pause.overloaded());
			}
		}
		else if (!(result instanceof AttemptResult.Silent) && server.failed() && mayEject(now)) {
			server.eject(now);
		}
	}

	private boolean mayEject(Instant now) {
		List<BackendServer> staying = staying();
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
			.forEach(BackendServer::leave);
	}

	/**
	 * The servers that are leaving, by whichever word came first.
	 * @return their incarnations
	 */
	public synchronized Set<String> leaving() {
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
	public synchronized boolean hasServers() {
		return this.servers.values().stream().anyMatch((server) -> !server.isLeaving());
	}

	/**
	 * Tell whether a request has a server left that it has not tried.
	 * @param tried servers that it has tried
	 * @return {@code false} if each server that is neither leaving nor ejected has been
	 * tried
	 */
	public synchronized boolean hasUntried(Set<HostAddress> tried) {
		return candidates(this.clock.instant()).stream().anyMatch((server) -> !tried.contains(server.address()));
	}

	/**
	 * Number of slots this gateway may use at most.
	 * @return the count
	 */
	public synchronized int capacity() {
		return staying().size() * this.slotsEach;
	}

	/**
	 * Number of slots in use, those on servers that the host list has dropped included.
	 * @return the count
	 */
	public synchronized int inFlight() {
		return this.inFlight;
	}

}
