package org.monsoonrelay.scheduler;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.monsoonrelay.adapters.peer.generated.PeerMessages.Announcement;
import org.monsoonrelay.model.host.HostAddress;

/**
 * What peers have announced of late. Not thread-safe: confined to the control thread.
 */
final class PeerDirectory {

	private final long lapseNanos;

	private final Map<String, Heard> bySession = new TreeMap<>();

	private final Set<String> replaced = new HashSet<>();

	PeerDirectory(long lapseNanos) {
		this.lapseNanos = lapseNanos;
	}

	/**
	 * Take in an announcement. A process that has started anew takes the place of the
	 * earlier one at its address, of which nothing is taken in any more.
	 * @param announcement the announcement
	 * @param nowNanos monotonic time
	 * @return sessions that are over
	 */
	List<String> heard(Announcement announcement, long nowNanos) {
		String session = announcement.getSession();
		if (this.replaced.contains(session)) {
			return List.of();
		}
		List<String> over = this.bySession.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(session))
			.filter((entry) -> entry.getValue().announcement().getAddress().equals(announcement.getAddress()))
			.map(Map.Entry::getKey)
			.toList();
		over.forEach(this.bySession::remove);
		this.replaced.addAll(over);
		this.bySession.put(session, new Heard(announcement, nowNanos));
		return over;
	}

	/**
	 * Drop peers that have been silent too long.
	 * @param nowNanos monotonic time
	 * @return their sessions
	 */
	List<String> dropSilent(long nowNanos) {
		List<String> silent = this.bySession.entrySet()
			.stream()
			.filter((entry) -> nowNanos - entry.getValue().atNanos() > this.lapseNanos)
			.map(Map.Entry::getKey)
			.toList();
		silent.forEach(this.bySession::remove);
		return silent;
	}

	Optional<HostAddress> address(String session) {
		return Optional.ofNullable(this.bySession.get(session))
			.map((heard) -> HostAddress.parse(heard.announcement().getAddress()));
	}

	Optional<String> ownerOfTeam(String team) {
		return this.bySession.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().announcement().getTeamsList().contains(team))
			.map(Map.Entry::getKey)
			.findFirst();
	}

	Set<String> satisfied() {
		Set<String> names = new HashSet<>();
		this.bySession.values().forEach((heard) -> names.addAll(heard.announcement().getSatisfiedList()));
		return names;
	}

	Collection<Announcement> announcements() {
		return this.bySession.values().stream().map(Heard::announcement).toList();
	}

	private record Heard(Announcement announcement, long atNanos) {

	}

}
