package org.monsoonrelay.logic.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.monsoonrelay.logic.control.Digest;
import org.monsoonrelay.model.membership.Ownership;
import org.monsoonrelay.model.membership.SessionRecord;

/**
 * Selects the session that should own a rack or a queue. All instances that see the same
 * live sessions select the same one, so that they do not race; an outdated view costs one
 * failed conditional write and never results in two owners. Stateless and thread-safe.
 */
public final class OwnershipPlan {

	private OwnershipPlan() {
	}

	/**
	 * Select the session that should take over. Sessions in the failure domain of the
	 * owned item are preferred, so its ownership returns to that domain as soon as a
	 * session there is alive.
	 * @param name the name of the rack or queue
	 * @param failureDomain its failure domain, empty if it has none
	 * @param current the current ownership
	 * @param live the live sessions
	 * @return the session, empty if the current owner is alive and preferred, or if no
	 * session is alive
	 */
	public static Optional<SessionRecord> successor(String name, String failureDomain, Ownership current,
			List<SessionRecord> live) {
		List<SessionRecord> inDomain = live.stream()
			.filter((session) -> failureDomain.isEmpty() || session.failureDomain().equals(failureDomain))
			.toList();
		List<SessionRecord> candidates = inDomain.isEmpty() ? live : inDomain;
		if (candidates.stream().anyMatch((session) -> session.session().equals(current.session()))) {
			return Optional.empty();
		}
		return candidates.stream().max(Comparator.comparing((session) -> Digest.of(name + ' ' + session.session())));
	}

}
