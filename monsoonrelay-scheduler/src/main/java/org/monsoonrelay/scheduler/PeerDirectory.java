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
 * The latest announcement of each peer. Not thread-safe: confined to the control thread.
 */
final class PeerDirectory {

	private final long expiryNanos;

	private final Map<String, ReceivedAnnouncement> bySession = new TreeMap<>();

	private final Set<String> replacedSessions = new HashSet<>();

	PeerDirectory(long expiryNanos) {
		this.expiryNanos = expiryNanos;
	}

	/**
	 * Record an announcement. A restarted process replaces the earlier session at its
	 * address, whose later announcements are ignored.
	 * @param announcement the announcement
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the sessions that were replaced
	 */
	List<String> announcementReceived(Announcement announcement, long nowNanos) {
		String session = announcement.getSession();
		if (isReplaced(session)) {
			return List.of();
		}
		List<String> endedSessions = this.bySession.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(session))
			.filter((entry) -> entry.getValue().announcement().getAddress().equals(announcement.getAddress()))
			.map(Map.Entry::getKey)
			.toList();
		endedSessions.forEach(this.bySession::remove);
		this.replacedSessions.addAll(endedSessions);
		this.bySession.put(session, new ReceivedAnnouncement(announcement, nowNanos));
		return endedSessions;
	}

	/**
	 * Return whether a restarted process has replaced a session.
	 * @param session the session
	 * @return {@code true} if its announcements are ignored
	 */
	boolean isReplaced(String session) {
		return this.replacedSessions.contains(session);
	}

	/**
	 * Remove the peers whose last announcement is older than the expiry time.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the sessions of the removed peers
	 */
	List<String> removeUnresponsive(long nowNanos) {
		List<String> unresponsive = this.bySession.entrySet()
			.stream()
			.filter((entry) -> nowNanos - entry.getValue().receivedNanos() > this.expiryNanos)
			.map(Map.Entry::getKey)
			.toList();
		unresponsive.forEach(this.bySession::remove);
		return unresponsive;
	}

	Optional<HostAddress> address(String session) {
		return Optional.ofNullable(this.bySession.get(session))
			.map((received) -> HostAddress.parse(received.announcement().getAddress()));
	}

	Optional<String> ownerOfTeam(String team) {
		return this.bySession.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().announcement().getTeamsList().contains(team))
			.map(Map.Entry::getKey)
			.findFirst();
	}

	Set<String> satisfiedDependencies() {
		Set<String> satisfied = new HashSet<>();
		this.bySession.values().forEach((received) -> satisfied.addAll(received.announcement().getSatisfiedList()));
		return satisfied;
	}

	Collection<Announcement> announcements() {
		return this.bySession.values().stream().map(ReceivedAnnouncement::announcement).toList();
	}

	private record ReceivedAnnouncement(Announcement announcement, long receivedNanos) {

	}

}
