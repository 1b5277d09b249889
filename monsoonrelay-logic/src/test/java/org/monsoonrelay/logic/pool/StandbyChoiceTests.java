package org.monsoonrelay.logic.pool;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StandbyChoiceTests {

	private static HostRecord host(String name, String domain, double processors) {
		return new HostRecord(name, domain, "a:1", "life", processors);
	}

	@Test
	void areTheLargestHostsOfDifferentFailureDomainsFirstOfOthersThanTheOwners() {
		HostRecord owner = host("n1", "north", 1.5);
		List<HostRecord> hosts = List.of(owner, host("n2", "north", 1.5), host("n3", "north", 1.5),
				host("s1", "south", 0.4), host("s2", "south", 1.5), host("w1", "west", 0.4), host("w2", "west", 0.3));
		assertThat(StandbyChoice.choose(hosts, owner)).containsExactly("s2", "w1", "n2");
	}

	@Test
	void areAllOthersIfThereAreFew() {
		HostRecord owner = host("a", "north", 1);
		assertThat(StandbyChoice.choose(List.of(owner, host("b", "north", 1)), owner)).containsExactly("b");
	}

}
