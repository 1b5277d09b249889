package org.monsoonrelay.logic.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.monsoonrelay.logic.placement.RackPolicy;
import org.monsoonrelay.logic.placement.RackRoom;
import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.logic.placement.WeightedRackPolicy;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.workload.PolicyWeights;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * What a queue owner knows of the racks, from their owners' summaries. Each choice takes
 * its room off the summary, so that one round does not send everything to one rack; a
 * choice looks at a sample of the racks, and at all of them only if none of the sample
 * has room. Not thread-safe: confined to the control thread.
 */
public final class RackDirectory {

	private static final int SAMPLE = 64;

	private static final int REFUSED_FOR_SUMMARIES = 5;

	private final Map<String, Entry> entries = new TreeMap<>();

	private final Map<String, List<Entry>> byDomain = new TreeMap<>();

	private final List<Entry> all = new ArrayList<>();

	private final Set<Resources> listedSizes = new HashSet<>();

	private final UniformRandomProvider random;

	private RackPolicy policy = new WeightedRackPolicy(PolicyWeights.EVEN);

	private Resources listedCapacity = Resources.NONE;

	private Entry lastChosen;

	private long round;

	private boolean indexed;

	public RackDirectory(UniformRandomProvider random) {
		this.random = random;
	}

	/**
	 * Take in an owner's summaries, in place of what it sent before.
	 * @param session the owner's session
	 * @param summaries all racks it owns
	 */
	public void update(String session, Collection<RackSummary> summaries) {
		Map<String, Entry> before = new HashMap<>(this.entries);
		drop(session);
		for (RackSummary summary : summaries) {
			Entry present = this.entries.get(summary.rack());
			if (present == null || present.summary.epoch() <= summary.epoch()) {
				this.entries.put(summary.rack(), new Entry(session, summary, before.get(summary.rack())));
			}
		}
	}

	/**
	 * Drop what a session sent, because it lapsed.
	 * @param session the session
	 */
	public void drop(String session) {
		this.entries.values().removeIf((entry) -> entry.session.equals(session));
		this.lastChosen = null;
		this.indexed = false;
	}

	/**
	 * Take in the platform's list, which tells the size of all workers, also of those
	 * that are silent.
	 * @param hosts the hosts
	 */
	public void listed(Collection<Host> hosts) {
		this.listedSizes.clear();
		this.listedCapacity = Resources.NONE;
		for (Host host : hosts) {
			if (host.kind() == HostKind.WORKER) {
				this.listedSizes.add(host.capacity());
				this.listedCapacity = this.listedCapacity.plus(host.capacity());
			}
		}
	}

	/**
	 * Tell whether any listed worker is large enough, even when it is empty.
	 * @param size what a task asks for
	 * @param together how many such tasks need each other
	 * @return {@code false} only if the list has been read and rules it out
	 */
	public boolean canEverFit(Resources size, int together) {
		if (this.listedSizes.isEmpty()) {
			return true;
		}
		return this.listedSizes.stream().anyMatch((worker) -> worker.covers(size))
				&& this.listedCapacity.count(size) >= together;
	}

	/**
	 * What the cell has: all listed workers, or all known racks before the list is read.
	 * @return the sum
	 */
	public Resources capacity() {
		if (!this.listedSizes.isEmpty()) {
			return this.listedCapacity;
		}
		return this.entries.values().stream().map(Entry::capacity).reduce(Resources.NONE, Resources::plus);
	}

	/**
	 * Begin a round of choices.
	 * @param rackPolicy weighs the racks in this round
	 */
	public void beginRound(RackPolicy rackPolicy) {
		this.policy = rackPolicy;
		this.round++;
		this.lastChosen = null;
	}

	/**
	 * Choose a rack for one task.
	 * @param kind how the tasks of its job belong together
	 * @param size what the task asks for
	 * @param replicasByRack how many tasks of the job each rack holds already
	 * @return the rack, or empty if none seems to have room
	 */
	public Optional<String> choose(WorkloadKind kind, Resources size, Map<String, Integer> replicasByRack) {
		index();
		Entry chosen = (kind == WorkloadKind.SERVICE) ? spread(size, replicasByRack) : pick(this.all, size, Map.of());
		if (chosen == null) {
			return Optional.empty();
		}
		chosen.free = chosen.free.minus(size);
		chosen.askedInRound = this.round;
		this.lastChosen = chosen;
		return Optional.of(chosen.rack());
	}

	/**
	 * Undo a choice whose room was not asked for, or was given back.
	 * @param rack the rack
	 * @param size what was chosen
	 */
	public void giveBack(String rack, Resources size) {
		Entry entry = this.entries.get(rack);
		if (entry != null && entry.capacity().covers(entry.free.plus(size))) {
			entry.free = entry.free.plus(size);
		}
	}

	/**
	 * Note that a rack's owner had no worker for a size, so that it is not asked again
	 * before its summary shows more room. What it had reserved for others may come free
	 * without a trace in the summary, so it is asked again after a few.
	 * @param rack the rack
	 * @param size what the task asked for
	 */
	public void refused(String rack, Resources size) {
		Entry entry = this.entries.get(rack);
		if (entry != null && entry.fits(size)) {
			entry.refused.add(new Refusal(size, entry.summary.free(), 0));
		}
	}

	/**
	 * Note that room has come free on one worker since the last summary.
	 * @param rack the rack
	 * @param size the room
	 */
	public void freed(String rack, Resources size) {
		giveBack(rack, size);
		Entry entry = this.entries.get(rack);
		if (entry != null) {
			entry.refused.clear();
			entry.largestProcessors = Math.max(entry.largestProcessors, size.processors());
		}
	}

	private Entry spread(Resources size, Map<String, Integer> replicasByRack) {
		Map<String, Integer> replicasByDomain = new HashMap<>();
		replicasByRack.forEach((rack, replicas) -> {
			Entry entry = this.entries.get(rack);
			if (entry != null) {
				replicasByDomain.merge(entry.summary.failureDomain(), replicas, Integer::sum);
			}
		});
		List<String> domains = new ArrayList<>(this.byDomain.keySet());
		domains.sort(Comparator.comparingInt((domain) -> replicasByDomain.getOrDefault(domain, 0)));
		for (String domain : domains) {
			Entry chosen = pick(this.byDomain.get(domain), size, replicasByRack);
			if (chosen != null) {
				return chosen;
			}
		}
		return null;
	}

	private Entry pick(List<Entry> racks, Resources size, Map<String, Integer> replicasByRack) {
		int sampled = Math.min(SAMPLE, racks.size());
		for (int index = 0; sampled < racks.size() && index < sampled; index++) {
			Collections.swap(racks, index, index + this.random.nextInt(racks.size() - index));
		}
		Entry chosen = best(racks, 0, sampled, size, replicasByRack);
		if (chosen == null) {
			return best(racks, sampled, racks.size(), size, replicasByRack);
		}
		boolean again = this.lastChosen != null && replicasByRack.isEmpty() && this.lastChosen.fits(size);
		return (again && this.policy.cost(this.lastChosen, size) < this.policy.cost(chosen, size)) ? this.lastChosen
				: chosen;
	}

	private Entry best(List<Entry> racks, int from, int to, Resources size, Map<String, Integer> replicasByRack) {
		Entry best = null;
		int fewest = 0;
		double least = 0;
		for (int index = from; index < to; index++) {
			Entry entry = racks.get(index);
			if (!entry.fits(size)) {
				continue;
			}
			int replicas = replicasByRack.getOrDefault(entry.rack(), 0);
			if (best != null && replicas > fewest) {
				continue;
			}
			double cost = this.policy.cost(entry, size);
			if (best == null || replicas < fewest || cost < least
					|| (cost == least && entry.rack().compareTo(best.rack()) < 0)) {
				best = entry;
				fewest = replicas;
				least = cost;
			}
		}
		return best;
	}

	private void index() {
		if (this.indexed) {
			return;
		}
		this.indexed = true;
		this.all.clear();
		this.all.addAll(this.entries.values());
		this.byDomain.clear();
		this.all.forEach(
				(entry) -> this.byDomain.computeIfAbsent(entry.summary.failureDomain(), (domain) -> new ArrayList<>())
					.add(entry));
	}

	/**
	 * The session that owns a rack, as its summaries say.
	 * @param rack the rack
	 * @return the session
	 */
	public Optional<String> owner(String rack) {
		return Optional.ofNullable(this.entries.get(rack)).map((entry) -> entry.session);
	}

	/**
	 * Tell whether all known racks have heard from their workers.
	 * @return {@code true} if there is a rack and all are settled
	 */
	public boolean isSettled() {
		return !this.entries.isEmpty() && this.entries.values().stream().allMatch((entry) -> entry.summary.settled());
	}

	/**
	 * Epochs of the racks' ownerships, as their summaries say.
	 * @return the epoch of each known rack
	 */
	public Map<String, Long> epochs() {
		Map<String, Long> epochs = new TreeMap<>();
		this.entries.forEach((rack, entry) -> epochs.put(rack, entry.summary.epoch()));
		return epochs;
	}

	/**
	 * Number of racks known.
	 * @return the count
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * The generator that choices draw from.
	 * @return the generator
	 */
	UniformRandomProvider random() {
		return this.random;
	}

	private final class Entry implements RackRoom {

		private final String session;

		private final RackSummary summary;

		private Resources free;

		private int largestProcessors;

		private long askedInRound = -1;

		private final List<Refusal> refused = new ArrayList<>();

		Entry(String session, RackSummary summary, Entry before) {
			this.session = session;
			this.summary = summary;
			this.free = summary.free();
			this.largestProcessors = summary.largestProcessors();
			if (before != null) {
				before.refused.stream()
					.filter((refusal) -> refusal.holdsFor(summary.free()))
					.forEach((refusal) -> this.refused.add(refusal.older()));
			}
		}

		boolean fits(Resources size) {
			return this.summary.workers() > 0 && this.free.covers(size) && this.largestProcessors >= size.processors()
					&& !hasRefused(size);
		}

		private boolean hasRefused(Resources size) {
			for (Refusal refusal : this.refused) {
				if (size.covers(refusal.size())) {
					return true;
				}
			}
			return false;
		}

		@Override
		public long room(Resources size) {
			long byProcessors = timesOnEach(this.free.processors(), size.processors());
			long byMemory = timesOnEach(this.free.memoryMiB(), size.memoryMiB());
			long byAccelerators = timesOnEach(this.free.accelerators(), size.accelerators());
			return this.summary.workers() * Math.min(Math.min(byProcessors, byMemory), byAccelerators);
		}

		private long timesOnEach(long sum, long size) {
			return (size > 0) ? sum / this.summary.workers() / size : Integer.MAX_VALUE;
		}

		@Override
		public String rack() {
			return this.summary.rack();
		}

		@Override
		public Resources free() {
			return this.free;
		}

		@Override
		public Resources capacity() {
			return this.summary.capacity();
		}

		@Override
		public boolean isAskedThisRound() {
			return this.askedInRound == RackDirectory.this.round;
		}

	}

	/**
	 * A size that a rack's owner had no worker for.
	 *
	 * @param size the size
	 * @param free what the summary said was free
	 * @param summaries how many summaries have come since
	 */
	private record Refusal(Resources size, Resources free, int summaries) {

		boolean holdsFor(Resources freeNow) {
			return this.summaries < REFUSED_FOR_SUMMARIES && this.free.covers(freeNow);
		}

		Refusal older() {
			return new Refusal(this.size, this.free, this.summaries + 1);
		}

	}

}
