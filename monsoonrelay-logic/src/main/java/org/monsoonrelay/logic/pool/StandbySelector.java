package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Chooses the hosts that stand ready to own the pool and therefore follow all jobs, and
 * their order. One that does so reads every job and all progress, which adds up over tens
 * of hosts. Stateless.
 */
public final class StandbySelector {

	/**
	 * How many hosts stand ready: the loss of a failure domain and of a third of the
	 * hosts, or planned restarts one after the other, leave some. All of a cell of nine
	 * hosts, for which it costs little.
	 */
	static final int MAX_STANDBYS = 8;

	/**
	 * With so many large hosts ready, small ones do not stand ready: one more than the
	 * failure domain or the host that may be lost beside the owner. What a small host has
	 * to read to follow the jobs of hundreds of workers fills its link, and callers'
	 * submissions wait behind it.
	 */
	static final int MIN_LARGE_STANDBYS = 3;

	/**
	 * How long a host has to be up to be ready, milliseconds: it begins to follow the
	 * jobs 1.5 s after its start.
	 */
	public static final long MIN_UPTIME_MILLIS = 3000;

	private StandbySelector() {
	}

	/**
	 * Choose the hosts: those that are ready, of them the largest, of them the one that
	 * was started last, as planned restarts come to it last; in different failure domains
	 * as far as there are any, first in others than the owner's. None that is stopping,
	 * and no small one beside enough large ones.
	 * @param hosts all hosts that are registered
	 * @param owner the host that owns the pool
	 * @return names of the chosen hosts, the one that is to go first at the front
	 */
	static List<String> select(Collection<Candidate> hosts, HostRecord owner) {
		List<Candidate> left = new ArrayList<>(
				hosts.stream().filter((candidate) -> !candidate.host().host().equals(owner.host())).toList());
		left.removeIf((candidate) -> candidate.host().stopping());
		HostSize largest = largest(hosts, owner);
		if (left.stream()
			.filter((candidate) -> candidate.isReady() && candidate.isLargeComparedTo(largest))
			.count() >= MIN_LARGE_STANDBYS) {
			left.removeIf((candidate) -> !candidate.isLargeComparedTo(largest));
		}
		left.sort(Comparator.comparing(Candidate::isReady)
			.thenComparingDouble((candidate) -> candidate.host().processors())
			.thenComparingLong(Candidate::startOrder)
			.reversed());
		List<String> chosen = new ArrayList<>();
		Set<String> used = new HashSet<>(Set.of(owner.failureDomain()));
		while (chosen.size() < MAX_STANDBYS && !left.isEmpty()) {
			Candidate next = left.stream()
				.filter((candidate) -> !used.contains(candidate.host().failureDomain()))
				.findFirst()
				.orElse(left.get(0));
			left.remove(next);
			used.add(next.host().failureDomain());
			chosen.add(next.host().host());
		}
		return chosen;
	}

	/**
	 * The size of the largest host that is not stopping.
	 * @param hosts all hosts that are registered
	 * @param owner the host that owns the pool
	 * @return its size
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
	 * A host that may be chosen. Immutable.
	 *
	 * @param host the host
	 * @param startOrder greater for a process that registered later
	 * @param isReady whether its process has been up long enough
	 */
	public record Candidate(HostRecord host, long startOrder, boolean isReady) {

		private boolean isLargeComparedTo(HostSize largest) {
			return this.host.size().isLargeComparedTo(largest);
		}

	}

}
