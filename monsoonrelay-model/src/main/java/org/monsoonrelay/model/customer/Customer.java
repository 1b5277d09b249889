package org.monsoonrelay.model.customer;

import java.util.Objects;
import java.util.Set;

import org.monsoonrelay.model.capacity.Resources;

/**
 * A customer, who has a share of the workers and a limit on what may run at the same
 * time. Immutable.
 *
 * @param name name of the customer, not empty
 * @param weight share of the capacity relative to other customers when there is too
 * little of it; also the jobs per second that the customer is entitled to
 * @param priority 0 is the highest priority
 * @param keys keys of the customer's callers; may be empty once all are revoked
 * @param limit what the customer may have running on all workers together, processors in
 * thousandths; 0 in a component means no limit of this resource
 */
public record Customer(String name, double weight, int priority, Set<ApiKey> keys, Resources limit) {

	public Customer {
		Objects.requireNonNull(limit, "limit");
		keys = Set.copyOf(keys);
		if (name.isEmpty()) {
			throw new IllegalArgumentException("a customer needs a name");
		}
		if (!(weight >= 0 && weight < Double.POSITIVE_INFINITY)) {
			throw new IllegalArgumentException("not a weight: " + weight);
		}
	}

}
