package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Chooses the hosts that stand ready to own the pool and therefore follow all jobs. One
 * that does so reads every job and all progress: with 38 hosts these reads were most of
 * what the table sent. Stateless.
 */
final class StandbyChoice {

	/**
	 * How many hosts stand ready: with one in each of three failure domains the loss of a
	 * domain and of one more host leaves one.
	 */
	static final int STANDBYS = 3;

	private StandbyChoice() {
	}

	/**
	 * Choose the hosts: the largest ones, in different failure domains as far as there
	 * are any, first in others than the owner's.
	 * @param hosts all hosts that are registered
	 * @param owner the host that owns the pool
	 * @return names of the chosen hosts
	 */
	static List<String> choose(Collection<HostRecord> hosts, HostRecord owner) {
		List<HostRecord> left = new ArrayList<>(
				hosts.stream().filter((host) -> !host.host().equals(owner.host())).toList());
		left.sort(Comparator.comparingDouble(HostRecord::processors).reversed().thenComparing(HostRecord::host));
		List<String> chosen = new ArrayList<>();
		Set<String> used = new HashSet<>(Set.of(owner.failureDomain()));
		while (chosen.size() < STANDBYS && !left.isEmpty()) {
			HostRecord next = left.stream()
				.filter((host) -> !used.contains(host.failureDomain()))
				.findFirst()
				.orElse(left.get(0));
			left.remove(next);
			used.add(next.failureDomain());
			chosen.add(next.host());
		}
		return chosen;
	}

}
