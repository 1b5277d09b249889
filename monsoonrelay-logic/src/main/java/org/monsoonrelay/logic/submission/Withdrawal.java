package org.monsoonrelay.logic.submission;

import java.util.List;
import java.util.Optional;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.monsoonrelay.logic.customers.Caller;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.TableRow;

/**
 * The cancellation of a job that is not stored, so that no submission of it that is still
 * on its way may store it. Invariant: it concerns only jobs that one of its callers may
 * cancel. Immutable.
 *
 * @param ofEveryone whether a caller cancelled it who may cancel every job
 * @param customers names of the other callers' customers, empty text for callers without
 * one
 */
record Withdrawal(boolean ofEveryone, List<String> customers) {

	Withdrawal {
		customers = (customers != null) ? List.copyOf(customers) : List.of();
	}

	static Withdrawal by(Caller caller) {
		return new Withdrawal(!caller.isRestricted(), caller.customer().map(List::of).orElse(List.of()));
	}

	/**
	 * Reads a row.
	 * @param row the row
	 * @return the cancellation
	 * @throws PlatformException if the row cannot be read, so that it is not known which
	 * jobs it concerns
	 */
	static Withdrawal of(TableRow row) {
		try {
			return Json.readRow(row.value(), Withdrawal.class);
		}
		catch (JsonProcessingException ex) {
			throw new PlatformException("the withdrawal of " + row.key() + " cannot be read", false, ex);
		}
	}

	/**
	 * Whether a job must not be stored.
	 * @param jobCustomer the job's customer, empty if it has none
	 * @return {@code true} if one of the callers may cancel the job
	 */
	boolean concerns(String jobCustomer) {
		return this.ofEveryone
				|| this.customers.stream().anyMatch((name) -> new Caller(Optional.of(name)).mayUse(jobCustomer));
	}

	/**
	 * Returns the cancellation by all callers.
	 * @param other the other callers
	 * @return the cancellation
	 */
	Withdrawal and(Withdrawal other) {
		TreeSet<String> all = new TreeSet<>(this.customers);
		all.addAll(other.customers);
		return new Withdrawal(this.ofEveryone || other.ofEveryone, List.copyOf(all));
	}

}
