package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Selects the standby hosts. A standby follows all jobs so that it can take the pool over
 * at once. This costs it a read of every job and of all progress, which would add up over
 * tens of hosts, so their number is limited. Stateless.
 */
public final class StandbySelector {

	/**
	 * Maximum number of standbys. Enough to have some left after the loss of a failure
	 * domain and of a third of the hosts, or during a sequence of planned restarts. In a
	 * cell of nine hosts, all others are standbys, which costs little.
	 */
	static final int MAX_STANDBYS = 8;

	/**
	 * Number of ready large hosts from which on small hosts are not selected: one more
	 * than the failure domain or host that may be lost together with the owner. Following
	 * the jobs of hundreds of workers saturates the link of a small host and delays the
	 * submissions of callers behind it.
	 */
	static final int MIN_LARGE_STANDBYS = 3;

	/**
	 * Time that a host has to be up before it counts as ready, milliseconds: it starts to
	 * follow the jobs 1.5 s after its start.
	 */
	public static final long MIN_UPTIME_MILLIS = 3000;

	private StandbySelector() {
	}

	/**
	 * Selects the standbys. Ready hosts come first, then larger ones, then those that
	 * were started last, because planned restarts reach these last. Hosts in different
	 * failure domains are preferred, beginning with domains other than the owner's. Hosts
	 * that are stopping are never selected, and small hosts only if there are too few
	 * large ones.
	 * @param hosts all registered hosts
	 * @param owner the host that owns the pool
	 * @return names of the selected hosts; the first one takes over first
	 */
	static List<String> select(Collection<Candidate> hosts, HostRecord owner) {
		List<Candidate> remaining = new ArrayList<>(
				hosts.stream().filter((candidate) -> !candidate.host().host().equals(owner.host())).toList());
		remaining.removeIf((candidate) -> candidate.host().stopping());
		HostSize largest = largest(hosts, owner);
		if (remaining.stream()
			.filter((candidate) -> candidate.isReady() && candidate.isLargeComparedTo(largest))
			.count() >= MIN_LARGE_STANDBYS) {
			remaining.removeIf((candidate) -> !candidate.isLargeComparedTo(largest));
		}
		remaining.sort(Comparator.comparing(Candidate::isReady)
			.thenComparingDouble((candidate) -> candidate.host().processors())
			.thenComparingLong(Candidate::startOrder)
			.reversed());
		List<String> selected = new ArrayList<>();
		Set<String> usedDomains = new HashSet<>(Set.of(owner.failureDomain()));
		while (selected.size() < MAX_STANDBYS && !remaining.isEmpty()) {
			Candidate next = remaining.stream()
				.filter((candidate) -> !usedDomains.contains(candidate.host().failureDomain()))
				.findFirst()
				.orElse(remaining.get(0));
			remaining.remove(next);
			usedDomains.add(next.host().failureDomain());
			selected.add(next.host().host());
		}
		return selected;
	}

	/**
	 * Returns the size of the largest host that is not stopping.
	 * @param hosts all registered hosts
	 * @param owner the host that owns the pool
	 * @return size of the largest host
	 */
	static HostSize largest(Collection<Candidate> hosts, HostRecord owner) {
		List<HostSize> sizes = new ArrayList<>(List.of(owner.size()));
		hosts.stream()
			.map(Candidate::host)
			.filter((host) -> !host.stopping())
			.map(HostRecord::size)
			.forEach(sizes::add);
		return HostSize.largest(sizes);
	}

	/**
	 * A host that may be selected. Immutable.
	 *
	 * @param host the host
	 * @param startOrder greater for a process that registered later
	 * @param isReady whether its process has been up for {@link #MIN_UPTIME_MILLIS}
	 */
	public record Candidate(HostRecord host, long startOrder, boolean isReady) {

		private boolean isLargeComparedTo(HostSize largest) {
			return this.host.size().isLargeComparedTo(largest);
		}

	}

}
