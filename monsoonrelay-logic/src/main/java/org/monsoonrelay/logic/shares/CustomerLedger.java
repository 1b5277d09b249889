package org.monsoonrelay.logic.shares;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.customer.Customer;

/**
 * What each customer has running, and whether it may start more. Answers the load of
 * customers who submit more than their limit allows at the same time: what exceeds it
 * waits, and the work of others goes on. Invariant: a start is allowed only if what runs,
 * what may run unseen and the start together keep the limit; of a customer with nothing
 * running, one task or gang may exceed it by one task, as it could never start otherwise.
 * Not thread-safe: confined to the control thread.
 */
public final class CustomerLedger {

	private final Map<String, ResourceTotal> running = new HashMap<>();

	private Map<String, ResourceTotal> possible = Map.of();

	private final Map<String, Customer> customers = new HashMap<>();

	/**
	 * Applies the customers of a configuration. Running work is left alone.
	 * @param configured the customers
	 */
	public void configure(Iterable<Customer> configured) {
		this.customers.clear();
		configured.forEach((customer) -> this.customers.put(customer.name(), customer));
	}

	/**
	 * Returns whether any customer is configured.
	 * @return {@code false} if there are no limits and no shares
	 */
	public boolean hasCustomers() {
		return !this.customers.isEmpty();
	}

	Iterable<Customer> customers() {
		return this.customers.values();
	}

	/**
	 * Records that a task runs, or may run from now on.
	 * @param customer the customer's name
	 * @param size what the task declares
	 */
	public void charge(String customer, Resources size) {
		this.running.merge(customer, ResourceTotal.NONE.plus(size, 1), ResourceTotal::plus);
	}

	/**
	 * Records that a task does not run any more.
	 * @param customer the customer's name
	 * @param size what was charged
	 */
	public void discharge(String customer, Resources size) {
		this.running.computeIfPresent(customer, (name, total) -> {
			ResourceTotal rest = total.plus(size, -1);
			return rest.isNone() ? null : rest;
		});
	}

	/**
	 * Sets what may run although no run is known, in place of what was set before.
	 * @param unseen what may run, by customer
	 */
	public void setPossible(Map<String, ResourceTotal> unseen) {
		this.possible = Map.copyOf(unseen);
	}

	/**
	 * Returns what a customer has running or may have running.
	 * @param customer the customer's name
	 * @return the sum
	 */
	public ResourceTotal usage(String customer) {
		return running(customer).plus(this.possible.getOrDefault(customer, ResourceTotal.NONE));
	}

	ResourceTotal total() {
		return this.running.values().stream().reduce(ResourceTotal.NONE, ResourceTotal::plus);
	}

	private ResourceTotal running(String customer) {
		return this.running.getOrDefault(customer, ResourceTotal.NONE);
	}

	/**
	 * Returns whether a customer may start tasks together.
	 * @param customer the customer's name
	 * @param size what each of them declares
	 * @param count how many are started together
	 * @return {@code true} also for a customer that is not configured any more, whose
	 * accepted jobs go on
	 */
	public boolean mayStart(String customer, Resources size, int count) {
		Optional<Resources> limit = Optional.ofNullable(this.customers.get(customer)).map(Customer::limit);
		if (limit.isEmpty() || limit.get().equals(Resources.NONE)) {
			return true;
		}
		ResourceTotal used = usage(customer);
		return used.plus(size, count).isWithin(limit.get())
				|| (used.isNone() && used.plus(size, count - 1L).isWithin(limit.get()));
	}

}
