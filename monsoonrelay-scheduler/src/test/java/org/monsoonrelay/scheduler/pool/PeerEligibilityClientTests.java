package org.monsoonrelay.scheduler.pool;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.pool.WorkerInfo;
import org.monsoonrelay.model.capacity.Resources;

import static org.assertj.core.api.Assertions.assertThat;

class PeerEligibilityClientTests {

	private static WorkerInfo worker() {
		return new WorkerInfo(newWorkerId(), "salon", "127.0.0.1:1", "porto", Resources.NONE, List.of(), "r", false, 0);
	}

	// A new string instance, as in each decoded message.
	private static String newWorkerId() {
		return new String(new char[] { 'w', '-', '1' });
	}

	@Test
	void ticketsUseTheInternedIdsOfWorkers() {
		Map<String, String> tickets = PeerEligibilityClient.withInternedIds(Map.of(newWorkerId(), "ticket"));
		assertThat(tickets).isEqualTo(Map.of("w-1", "ticket"));
		assertThat(tickets.keySet().iterator().next()).isSameAs(worker().id()).isSameAs(worker().id());
	}

}
