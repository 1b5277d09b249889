package org.monsoonrelay.scheduler;

import org.monsoonrelay.adapters.peer.PeerCodec;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Announcement;
import org.monsoonrelay.logic.queue.RackDirectory;

/**
 * Applies the announcements of the other processes to the directories of peers and of
 * racks. Not thread-safe: confined to the control thread.
 */
final class PeerAnnouncements {

	private final PeerDirectory peers;

	private final RackDirectory racks;

	PeerAnnouncements(PeerDirectory peers, RackDirectory racks) {
		this.peers = peers;
		this.racks = racks;
	}

	/**
	 * Apply an announcement. One of a replaced session is ignored.
	 * @param announcement the announcement
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void received(Announcement announcement, long nowNanos) {
		if (this.peers.isReplaced(announcement.getSession())) {
			return;
		}
		this.peers.announcementReceived(announcement, nowNanos).forEach(this.racks::removeSession);
		if (announcement.getRole().equals(SchedulerNode.ROLE)) {
			this.racks.update(announcement.getSession(), PeerCodec.decodeSummaries(announcement.getRacksList()));
		}
	}

	/**
	 * Remove the peers that have not announced themselves for the expiry time, and their
	 * racks.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 */
	void removeUnresponsive(long nowNanos) {
		this.peers.removeUnresponsive(nowNanos).forEach(this.racks::removeSession);
	}

}
