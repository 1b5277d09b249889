package org.monsoonrelay.model.submission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.monsoonrelay.model.customer.Customer;

/**
 * One version of the operators' configuration of queues. Immutable.
 *
 * @param version version of the configuration; higher versions replace lower ones
 * @param routes routes from callers' addresses to queues
 * @param services services whose workers run tasks
 * @param customers the customers; without any, no key is required and no limit holds
 */
public record QueueConfiguration(long version, List<QueueRoute> routes, List<WorkerService> services,
		List<Customer> customers) {

	/** Empty configuration, before the first one is received. */
	public static final QueueConfiguration NONE = new QueueConfiguration(0, List.of(), List.of());

	public QueueConfiguration {
		routes = List.copyOf(routes);
		services = List.copyOf(services);
		customers = List.copyOf(customers);
	}

	/**
	 * Creates a configuration without customers.
	 * @param version version of the configuration
	 * @param routes routes from callers' addresses to queues
	 * @param services services whose workers run tasks
	 */
	public QueueConfiguration(long version, List<QueueRoute> routes, List<WorkerService> services) {
		this(version, routes, services, List.of());
	}

	/**
	 * Find the route of a caller's request. The longest matching prefix takes precedence.
	 * @param host host name that the caller sent
	 * @param path path of the request
	 * @return the route, empty if no route matches
	 */
	public Optional<QueueRoute> route(String host, String path) {
		QueueRoute best = null;
		for (QueueRoute route : this.routes) {
			boolean matches = route.host().equalsIgnoreCase(host) && path.startsWith(route.pathPrefix());
			if (matches && (best == null || route.pathPrefix().length() > best.pathPrefix().length())) {
				best = route;
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Policies by name of the queue.
	 * @return a new map
	 */
	public Map<String, QueuePolicy> policies() {
		Map<String, QueuePolicy> policies = new HashMap<>();
		this.routes.forEach((route) -> policies.put(route.policy().queue(), route.policy()));
		return policies;
	}

}
