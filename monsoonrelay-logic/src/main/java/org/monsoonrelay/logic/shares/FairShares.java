package org.monsoonrelay.logic.shares;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.monsoonrelay.model.customer.Customer;

/**
 * Divides a pool with too little room among the customers with work. Weighted
 * dominant-resource fairness: each customer may use a share by its weight, and what one
 * does not need is divided among the others. Answers the load of one customer that sends
 * many times its usual beside others that send theirs. Without effect while there is room
 * for all. Stateless.
 */
public final class FairShares {

	/**
	 * Share of the pool that all work together needs, from which on room is short. Tasks
	 * of several processors do not fill the last part of all workers.
	 */
	private static final double SHORTAGE_SHARE = 0.9;

	/**
	 * How far a customer may go beyond its share, as a factor. Tasks are large compared
	 * to the shares of small customers.
	 */
	private static final double TOLERANCE = 1.25;

	private FairShares() {
	}

	/**
	 * Returns how much of the pool each customer may use before it yields to others.
	 * @param ledger what customers have running
	 * @param waiting what could be started now, by customer; the name is empty for work
	 * without a customer
	 * @param capacity the whole pool
	 * @return by customer, the allowed share of its dominant resource; empty if there is
	 * room for all, without customers that need no more than their share
	 */
	public static Map<String, Double> allowances(CustomerLedger ledger, Map<String, ResourceTotal> waiting,
			ResourceTotal capacity) {
		ResourceTotal needed = waiting.values().stream().reduce(ledger.total(), ResourceTotal::plus);
		if (!ledger.hasCustomers() || needed.dominantShareOf(capacity) < SHORTAGE_SHARE) {
			return Map.of();
		}
		List<Demand> demands = new ArrayList<>();
		for (Customer customer : ledger.customers()) {
			ResourceTotal total = ledger.usage(customer.name())
				.plus(waiting.getOrDefault(customer.name(), ResourceTotal.NONE));
			if (customer.weight() > 0 && !total.isNone()) {
				demands.add(new Demand(customer.name(), customer.weight(), total.dominantShareOf(capacity)));
			}
		}
		double level = fairLevel(demands);
		Map<String, Double> allowances = new HashMap<>();
		for (Demand demand : demands) {
			double allowed = TOLERANCE * level * demand.weight();
			if (demand.share() > allowed) {
				allowances.put(demand.customer(), allowed);
			}
		}
		return allowances;
	}

	// The share for each unit of weight up to which all customers can be served.
	private static double fairLevel(List<Demand> demands) {
		double rest = 1;
		double weights = demands.stream().mapToDouble(Demand::weight).sum();
		for (Demand demand : demands.stream().sorted(Comparator.comparingDouble(Demand::perWeight)).toList()) {
			if (demand.perWeight() * weights > rest) {
				break;
			}
			rest -= demand.share();
			weights -= demand.weight();
		}
		return (weights > 0) ? rest / weights : Double.POSITIVE_INFINITY;
	}

	private record Demand(String customer, double weight, double share) {

		double perWeight() {
			return this.share / this.weight;
		}

	}

}
