package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.pool.StandbySelector.Candidate;

import static org.assertj.core.api.Assertions.assertThat;

class StandbySelectorTests {

	private static final HostRecord OWNER = host("n1", "north", 1.5);

	private static HostRecord host(String name, String domain, double processors) {
		return new HostRecord(name, domain, "a:1", "life", processors, false);
	}

	private static Candidate ready(String name, String domain, double processors) {
		return new Candidate(host(name, domain, processors), 0, true);
	}

	@Test
	void prefersLargeHostsInFailureDomainsOtherThanTheOwners() {
		List<Candidate> hosts = List.of(new Candidate(OWNER, 0, true), ready("n2", "north", 1.5),
				ready("n3", "north", 1.5), ready("s1", "south", 0.9), ready("s2", "south", 1.5),
				ready("w1", "west", 0.9), ready("w2", "west", 0.8));
		assertThat(StandbySelector.select(hosts, OWNER)).startsWith("s2", "w1").hasSize(6);
	}

	@Test
	void selectsNoSmallHostIfEnoughLargeOnesAreReady() {
		List<Candidate> hosts = List.of(new Candidate(OWNER, 0, true), ready("n2", "north", 1.5),
				ready("n3", "north", 1.5), ready("s1", "south", 0.4), ready("s2", "south", 1.5),
				ready("w1", "west", 0.4), ready("w2", "west", 0.3));
		assertThat(StandbySelector.select(hosts, OWNER)).containsExactly("s2", "n2", "n3");
	}

	@Test
	void selectsSmallHostsIfTooFewLargeOnesAreReady() {
		List<Candidate> hosts = List.of(new Candidate(OWNER, 0, true), ready("n2", "north", 1.5),
				ready("s1", "south", 0.4), ready("s2", "south", 1.5), new Candidate(host("w2", "west", 1.5), 9, false));
		assertThat(StandbySelector.select(hosts, OWNER)).containsExactlyInAnyOrder("s2", "w2", "n2", "s1");
	}

	@Test
	void selectsAllOtherHostsIfThereAreFew() {
		assertThat(StandbySelector.select(List.of(new Candidate(OWNER, 0, true), ready("b", "north", 1)), OWNER))
			.containsExactly("b");
	}

	@Test
	void prefersTheReadyHostThatWasStartedLast() {
		List<Candidate> hosts = List.of(ready("a", "south", 1), new Candidate(host("b", "south", 1), 9, true),
				new Candidate(host("c", "south", 1), 5, true), new Candidate(host("d", "south", 1), 10, false));
		assertThat(StandbySelector.select(hosts, OWNER)).containsExactly("b", "c", "a", "d");
	}

	@Test
	void selectsNoStoppingHost() {
		Candidate stopping = new Candidate(host("a", "south", 1).asStopping(), 1, true);
		assertThat(StandbySelector.select(List.of(stopping, ready("b", "south", 1)), OWNER)).containsExactly("b");
	}

}
