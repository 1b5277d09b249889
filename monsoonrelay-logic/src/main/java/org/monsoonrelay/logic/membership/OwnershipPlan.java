package org.monsoonrelay.logic.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.monsoonrelay.logic.control.Digest;
import org.monsoonrelay.model.membership.Ownership;
import org.monsoonrelay.model.membership.SessionRecord;

/**
 * Decides which session should own something. All sessions that see the same live
 * sessions come to the same answer, so that they do not race; a wrong view costs one lost
 * conditional write, never two owners. Stateless and thread-safe.
 */
public final class OwnershipPlan {

	private OwnershipPlan() {
	}

	/**
	 * The session that should take something over.
	 * @param name what is owned
	 * @param failureDomain the failure domain it stands in, empty if it stands in none
	 * @param present the present ownership
	 * @param live the live sessions
	 * @return the session, or empty if the present owner is alive or nobody can
	 */
	public static Optional<SessionRecord> successor(String name, String failureDomain, Ownership present,
			List<SessionRecord> live) {
		boolean owned = live.stream().anyMatch((session) -> session.session().equals(present.session()));
		if (owned) {
			return Optional.empty();
		}
		List<SessionRecord> near = live.stream()
			.filter((session) -> failureDomain.isEmpty() || session.failureDomain().equals(failureDomain))
			.toList();
		return (near.isEmpty() ? live : near).stream()
			.max(Comparator.comparing((session) -> Digest.of(name + ' ' + session.session())));
	}

}
