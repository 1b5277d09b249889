package org.monsoonrelay.logic.customers;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The customers of jobs, as far as a host has learned them. Invariants: a job's customer
 * never changes; the number of remembered jobs is bounded, and the least recently used
 * one is forgotten first. Thread-safe.
 */
public final class JobCustomers {

	/** Number of remembered jobs, which take about 150 bytes each. */
	static final int MAX_JOBS = 10_000;

	private static final int INITIAL_CAPACITY = 64;

	private static final float LOAD_FACTOR = 0.75F;

	private final Map<String, String> customers = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
			return size() > MAX_JOBS;
		}

	};

	/**
	 * Remember the customer of a job.
	 * @param job the job's id
	 * @param customer the customer's name, empty if the job has none
	 */
	public synchronized void record(String job, String customer) {
		this.customers.putIfAbsent(job, customer.intern());
	}

	/**
	 * Forget a job that does not exist any more.
	 * @param job the job's id
	 */
	public synchronized void remove(String job) {
		this.customers.remove(job);
	}

	/**
	 * The customer of a job.
	 * @param job the job's id
	 * @return the customer's name, empty text if the job has none; empty if unknown
	 */
	public synchronized Optional<String> customer(String job) {
		return Optional.ofNullable(this.customers.get(job));
	}

}
