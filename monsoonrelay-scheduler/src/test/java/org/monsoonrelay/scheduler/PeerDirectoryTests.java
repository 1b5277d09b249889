package org.monsoonrelay.scheduler;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Announcement;

import static org.assertj.core.api.Assertions.assertThat;

class PeerDirectoryTests {

	private static final long EXPIRY_NANOS = 4_000_000_000L;

	private final PeerDirectory peers = new PeerDirectory(EXPIRY_NANOS);

	private static Announcement announcement(String session, String address, long version) {
		return Announcement.newBuilder().setSession(session).setAddress(address).setVersion(version).build();
	}

	@Test
	void aRestartedProcessReplacesItsEarlierSession() {
		this.peers.announcementReceived(announcement("old", "10.0.0.1:7000", 4), 0);
		this.peers.announcementReceived(announcement("other", "10.0.0.2:7000", 4), 0);
		assertThat(this.peers.announcementReceived(announcement("new", "10.0.0.1:7000", 0), 1)).containsExactly("old");
		assertThat(this.peers.announcements()).extracting(Announcement::getSession)
			.containsExactlyInAnyOrder("new", "other");
	}

	@Test
	void aLateAnnouncementOfAReplacedSessionIsIgnored() {
		this.peers.announcementReceived(announcement("old", "10.0.0.1:7000", 4), 0);
		this.peers.announcementReceived(announcement("new", "10.0.0.1:7000", 5), 1);
		assertThat(this.peers.announcementReceived(announcement("old", "10.0.0.1:7000", 4), 2)).isEmpty();
		assertThat(this.peers.announcements()).extracting(Announcement::getVersion).containsExactly(5L);
	}

	@Test
	void anUnresponsiveProcessIsRemoved() {
		this.peers.announcementReceived(announcement("one", "10.0.0.1:7000", 4), 0);
		assertThat(this.peers.removeUnresponsive(EXPIRY_NANOS)).isEmpty();
		assertThat(this.peers.removeUnresponsive(EXPIRY_NANOS + 1)).containsExactly("one");
	}

}
