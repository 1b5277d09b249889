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
	 * @return the session, or empty if the present owner is alive and stands near enough,
	 * or if nobody is alive; what stands in a failure domain goes back to that domain as
	 * soon as a session is alive there
	 */
	public static Optional<SessionRecord> successor(String name, String failureDomain, Ownership present,
			List<SessionRecord> live) {
		List<SessionRecord> near = live.stream()
			.filter((session) -> failureDomain.isEmpty() || session.failureDomain().equals(failureDomain))
			.toList();
		List<SessionRecord> able = near.isEmpty() ? live : near;
		if (able.stream().anyMatch((session) -> session.session().equals(present.session()))) {
			return Optional.empty();
		}
		return able.stream().max(Comparator.comparing((session) -> Digest.of(name + ' ' + session.session())));
	}

}
