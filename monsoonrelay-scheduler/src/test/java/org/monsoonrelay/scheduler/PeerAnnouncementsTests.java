package org.monsoonrelay.scheduler;

import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.peer.PeerCodec;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Announcement;
import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.logic.queue.RackDirectory;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

class PeerAnnouncementsTests {

	private static final Resources SIZE = new Resources(8, 1024, 0);

	private static final RackSummary RACK = new RackSummary("r1", "north", 4, 1, SIZE, SIZE, 8, true);

	private final RackDirectory racks = new RackDirectory(RandomSource.XO_RO_SHI_RO_128_PP.create(1));

	private final PeerAnnouncements announcements = new PeerAnnouncements(new PeerDirectory(Long.MAX_VALUE),
			this.racks);

	private void receive(String session, RackSummary... owned) {
		Announcement.Builder announcement = Announcement.newBuilder()
			.setSession(session)
			.setRole(SchedulerNode.ROLE)
			.setAddress("10.0.0.1:7000");
		for (RackSummary summary : owned) {
			announcement.addRacks(PeerCodec.encode(summary));
		}
		this.announcements.received(announcement.build(), 0);
	}

	@Test
	void ofARestartedProcessEndTheOwnershipOfItsEarlierSession() {
		receive("old", RACK);
		assertThat(this.racks.ownerSession("r1")).hasValue("old");
		receive("new");
		assertThat(this.racks.rackCount()).isZero();
	}

	@Test
	void ofAReplacedSessionThatArriveLateBringNoneOfItsRacksBack() {
		receive("old", RACK);
		receive("new");
		receive("old", RACK);
		assertThat(this.racks.rackCount()).isZero();
		assertThat(this.racks.haveAllWorkersReported()).isFalse();
	}

}
