package org.monsoonrelay.logic.customers;

import java.util.Optional;

/**
 * On whose behalf a request acts. Immutable.
 *
 * @param customer name of the customer, empty on a route that needs no key; absent if no
 * customers are configured, so that every job may be used
 */
public record Caller(Optional<String> customer) {

	/** A caller where no customers are configured. */
	public static final Caller UNRESTRICTED = new Caller(Optional.empty());

	/** A caller on a route that needs no key. */
	public static final Caller PUBLIC = new Caller(Optional.of(""));

	/**
	 * Creates a caller of a customer.
	 * @param customer name of the customer
	 * @return the caller
	 */
	public static Caller of(String customer) {
		return new Caller(Optional.of(customer));
	}

	/**
	 * Whether customers make a difference to this caller.
	 * @return {@code false} if every job may be used
	 */
	public boolean isRestricted() {
		return this.customer.isPresent();
	}

	/**
	 * Whether this caller may see and change a job. Jobs without a customer, from public
	 * routes or from before customers were configured, are open to all.
	 * @param jobCustomer the job's customer, empty if it has none
	 * @return {@code true} if so
	 */
	public boolean mayUse(String jobCustomer) {
		return jobCustomer.isEmpty() || this.customer.isEmpty() || this.customer.get().equals(jobCustomer);
	}

}
