package org.monsoonrelay.logic.customers;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.events.ProcessDecision;
import org.monsoonrelay.logic.platform.KnownConfiguration;
import org.monsoonrelay.model.customer.ApiKey;
import org.monsoonrelay.model.submission.QueueConfiguration;
import org.monsoonrelay.model.submission.QueueRoute;

/**
 * Decides whether a request may be served by its key. Answers the load of callers whose
 * keys are added and removed while hosts lag or are cut off. Invariants: a key is
 * accepted only while the configuration that holds it was confirmed within the revocation
 * bound less a margin; it is rejected for good only by a configuration that was confirmed
 * recently; without customers nothing is asked for. Thread-safe.
 */
public final class CallerAuthentication {

	/**
	 * Time from a decision to the end of its effect, milliseconds: a write through
	 * another host is waited for this long.
	 */
	static final long HANDLING_MARGIN_MILLIS = 1000;

	private static final String TRUST = "confirmation of customers' keys";

	private final long maximumAgeMillis;

	private final DecisionLog log;

	private final AtomicBoolean refusing = new AtomicBoolean();

	private volatile KeyIndex index = KeyIndex.of(QueueConfiguration.NONE);

	/**
	 * Creates an authentication.
	 * @param revocationMillis time after which a removed key must have no effect at any
	 * host, milliseconds
	 * @param log receives changes of whether keys can be trusted
	 */
	public CallerAuthentication(long revocationMillis, DecisionLog log) {
		this.maximumAgeMillis = Math.max(revocationMillis / 2, revocationMillis - HANDLING_MARGIN_MILLIS);
		this.log = log;
	}

	/**
	 * Decide on a request.
	 * @param known the known configuration
	 * @param route the route of the request
	 * @param presented the key that came with it
	 * @return the decision
	 */
	public Authentication authenticate(KnownConfiguration known, QueueRoute route, PresentedKey presented) {
		if (known.configuration().customers().isEmpty()) {
			return new Authentication.Accepted(Caller.UNRESTRICTED);
		}
		if (route.publicAccess()) {
			return new Authentication.Accepted(Caller.PUBLIC);
		}
		recordTrust(known);
		if (presented.key().isEmpty()) {
			boolean isRecent = isConfirmed(known) && !known.mayBeOutdated();
			return !isRecent ? new Authentication.MayBeOutdated() : new Authentication.Rejected(presented.fault());
		}
		String customer = customerOf(presented.key().get(), known.configuration());
		if (customer == null) {
			return new Authentication.UnknownKey();
		}
		return isTrusted(known) ? new Authentication.Accepted(Caller.of(customer)) : new Authentication.MayBeOutdated();
	}

	/**
	 * Whether a request that was accepted would be accepted again for the same customer.
	 * @param caller on whose behalf it acts
	 * @param known the configuration known now
	 * @param route the route of the request
	 * @param presented the key that came with it
	 * @return {@code false} if its key has been removed, or may have been
	 */
	public boolean isStillAccepted(Caller caller, KnownConfiguration known, QueueRoute route, PresentedKey presented) {
		return authenticate(known, route, presented) instanceof Authentication.Accepted accepted
				&& (accepted.caller().equals(caller) || !accepted.caller().isRestricted());
	}

	/**
	 * Whether the keys of a configuration can be trusted.
	 * @param known the known configuration
	 * @return {@code false} if one of them may have been removed for longer than the
	 * revocation bound allows
	 */
	public boolean isTrusted(KnownConfiguration known) {
		return known.configuration().customers().isEmpty()
				|| (isConfirmed(known) && known.ageMillis() <= this.maximumAgeMillis);
	}

	private static boolean isConfirmed(KnownConfiguration known) {
		return known.ageMillis() != KnownConfiguration.UNKNOWN_AGE;
	}

	private void recordTrust(KnownConfiguration known) {
		boolean isTrusted = isTrusted(known);
		if (isTrusted && this.refusing.compareAndSet(true, false)) {
			this.log.write(new ProcessDecision.DependencyBack(TRUST, -1));
		}
		else if (!isTrusted && this.refusing.compareAndSet(false, true)) {
			this.log.write(new ProcessDecision.DependencyLost(TRUST, "configuration " + known.version()
					+ " was confirmed " + known.ageMillis() + " ms ago, at most " + this.maximumAgeMillis));
		}
	}

	private String customerOf(ApiKey key, QueueConfiguration configuration) {
		KeyIndex current = this.index;
		if (current.configuration() != configuration) {
			current = KeyIndex.of(configuration);
			this.index = current;
		}
		return current.customers().get(key);
	}

	private record KeyIndex(QueueConfiguration configuration, Map<ApiKey, String> customers) {

		static KeyIndex of(QueueConfiguration configuration) {
			Map<ApiKey, String> customers = new HashMap<>();
			configuration.customers()
				.forEach((customer) -> customer.keys().forEach((key) -> customers.put(key, customer.name())));
			return new KeyIndex(configuration, customers);
		}

	}

}
