package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.pool.StandbyChoice.Candidate;

import static org.assertj.core.api.Assertions.assertThat;

class StandbyChoiceTests {

	private static final HostRecord OWNER = host("n1", "north", 1.5);

	private static HostRecord host(String name, String domain, double processors) {
		return new HostRecord(name, domain, "a:1", "life", processors);
	}

	private static Candidate old(String name, String domain, double processors) {
		return new Candidate(host(name, domain, processors), Long.MAX_VALUE);
	}

	@Test
	void areTheLargestHostsOfDifferentFailureDomainsFirstOfOthersThanTheOwners() {
		List<Candidate> hosts = List.of(new Candidate(OWNER, Long.MAX_VALUE), old("n2", "north", 1.5),
				old("n3", "north", 1.5), old("s1", "south", 0.4), old("s2", "south", 1.5), old("w1", "west", 0.4),
				old("w2", "west", 0.3));
		assertThat(StandbyChoice.choose(hosts, OWNER)).startsWith("s2", "w1", "n2", "n3").hasSize(6);
	}

	@Test
	void areAllOthersIfThereAreFew() {
		assertThat(StandbyChoice.choose(List.of(new Candidate(OWNER, 0), old("b", "north", 1)), OWNER))
			.containsExactly("b");
	}

	@Test
	void beginWithTheOneThatWasStartedLastAndIsReady() {
		List<Candidate> hosts = List.of(old("a", "south", 1), new Candidate(host("b", "south", 1), 5000),
				new Candidate(host("c", "south", 1), 9000), new Candidate(host("d", "south", 1), 100));
		assertThat(StandbyChoice.choose(hosts, OWNER)).containsExactly("b", "c", "a", "d");
	}

}
