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

	private static final int SAMPLE_SIZE = 64;

	private static final int MAXIMUM_PENALTY_EXPONENT = 30;

	private final Map<String, RackEntry> entries = new TreeMap<>();

	private final Map<String, List<RackEntry>> entriesByDomain = new TreeMap<>();

	private final List<RackEntry> allEntries = new ArrayList<>();

	private final Set<Resources> listedWorkerSizes = new HashSet<>();

	private final UniformRandomProvider random;

	private RackPolicy policy = new WeightedRackPolicy(PolicyWeights.EVEN);

	private final Map<Resources, Integer> penaltyExponents = new HashMap<>();

	private Resources listedCapacity = Resources.NONE;

	private RackEntry lastChosen;

	private final List<RackEntry> entriesChosenThisRound = new ArrayList<>();

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
		Map<String, RackEntry> previous = new HashMap<>(this.entries);
		removeSession(session);
		for (RackSummary summary : summaries) {
			RackEntry current = this.entries.get(summary.rack());
			if (current == null || current.summary().epoch() <= summary.epoch()) {
				this.entries.put(summary.rack(), new RackEntry(session, summary, previous.get(summary.rack())));
			}
		}
	}

	/**
	 * Drop what a session sent, because it lapsed.
	 * @param session the session
	 */
	public void removeSession(String session) {
		this.entries.values().removeIf((entry) -> entry.session().equals(session));
		this.lastChosen = null;
		this.indexed = false;
	}

	/**
	 * Take in the platform's list, which tells the size of all workers, also of those
	 * that are silent.
	 * @param hosts the hosts
	 */
	public void updateHosts(Collection<Host> hosts) {
		this.listedWorkerSizes.clear();
		this.listedCapacity = Resources.NONE;
		for (Host host : hosts) {
			if (host.kind() == HostKind.WORKER) {
				this.listedWorkerSizes.add(host.capacity());
				this.listedCapacity = this.listedCapacity.plus(host.capacity());
			}
		}
	}

	/**
	 * Tell whether any listed worker is large enough, even when it is empty.
	 * @param size what a task asks for
	 * @param taskCount how many such tasks need each other
	 * @return {@code false} only if the list has been read and rules it out
	 */
	public boolean canEverFit(Resources size, int taskCount) {
		if (this.listedWorkerSizes.isEmpty()) {
			return true;
		}
		return this.listedWorkerSizes.stream().anyMatch((worker) -> worker.covers(size))
				&& this.listedCapacity.count(size) >= taskCount;
	}

	/**
	 * What the cell has: all listed workers, or all known racks before the list is read.
	 * @return the sum
	 */
	public Resources capacity() {
		if (!this.listedWorkerSizes.isEmpty()) {
			return this.listedCapacity;
		}
		return this.entries.values().stream().map(RackEntry::capacity).reduce(Resources.NONE, Resources::plus);
	}

	/**
	 * Begin a round of choices.
	 * @param rackPolicy weighs the racks in this round
	 */
	public void beginRound(RackPolicy rackPolicy) {
		this.policy = rackPolicy;
		this.entriesChosenThisRound.forEach(RackEntry::beginRound);
		this.entriesChosenThisRound.clear();
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
		rebuildIndex();
		RackEntry chosen = (kind == WorkloadKind.SERVICE) ? chooseSpread(size, replicasByRack)
				: chooseFrom(this.allEntries, size, Map.of());
		if (chosen == null) {
			return Optional.empty();
		}
		chosen.deduct(size);
		this.entriesChosenThisRound.add(chosen);
		this.lastChosen = chosen;
		return Optional.of(chosen.rack());
	}

	/**
	 * Undo a choice whose room was not asked for, or was given back.
	 * @param rack the rack
	 * @param size what was chosen
	 */
	public void undoChoice(String rack, Resources size) {
		RackEntry entry = this.entries.get(rack);
		if (entry != null) {
			entry.restore(size);
		}
	}

	/**
	 * Note that a rack's owner had no worker for a size, so that it is not asked again
	 * before its summary shows more room. What it had reserved for others may come free
	 * without a trace in the summary, so it is asked again after a few.
	 * @param rack the rack
	 * @param size what the task asked for
	 */
	public void recordRefusal(String rack, Resources size) {
		RackEntry entry = this.entries.get(rack);
		if (entry != null && entry.fits(size)) {
			entry.addRefusal(size);
			this.penaltyExponents.merge(size, 1,
					(exponent, increment) -> Math.min(exponent + increment, MAXIMUM_PENALTY_EXPONENT));
		}
	}

	/**
	 * Note that a rack's owner had room for a size.
	 * @param size what the task asked for
	 */
	public void recordAcceptance(Resources size) {
		this.penaltyExponents.computeIfPresent(size, (key, exponent) -> (exponent > 1) ? exponent / 2 : null);
	}

	/**
	 * Note that room has come free on one worker since the last summary.
	 * @param rack the rack
	 * @param size the room
	 */
	public void recordFreed(String rack, Resources size) {
		RackEntry entry = this.entries.get(rack);
		if (entry != null) {
			entry.addFreed(size);
		}
	}

	private RackEntry chooseSpread(Resources size, Map<String, Integer> replicasByRack) {
		Map<String, Integer> replicasByDomain = new HashMap<>();
		replicasByRack.forEach((rack, replicas) -> {
			RackEntry entry = this.entries.get(rack);
			if (entry != null) {
				replicasByDomain.merge(entry.summary().failureDomain(), replicas, Integer::sum);
			}
		});
		List<String> domains = new ArrayList<>(this.entriesByDomain.keySet());
		domains.sort(Comparator.comparingInt((domain) -> replicasByDomain.getOrDefault(domain, 0)));
		for (String domain : domains) {
			RackEntry chosen = chooseFrom(this.entriesByDomain.get(domain), size, replicasByRack);
			if (chosen != null) {
				return chosen;
			}
		}
		return null;
	}

	private RackEntry chooseFrom(List<RackEntry> racks, Resources size, Map<String, Integer> replicasByRack) {
		int sampleSize = Math.min(SAMPLE_SIZE, racks.size());
		for (int index = 0; sampleSize < racks.size() && index < sampleSize; index++) {
			Collections.swap(racks, index, index + this.random.nextInt(racks.size() - index));
		}
		RackEntry chosen = lowestCost(racks, 0, sampleSize, size, replicasByRack);
		if (chosen == null) {
			return lowestCost(racks, sampleSize, racks.size(), size, replicasByRack);
		}
		boolean reuseLast = this.lastChosen != null && replicasByRack.isEmpty() && this.lastChosen.fits(size)
				&& !this.penaltyExponents.containsKey(size);
		return (reuseLast && this.policy.cost(this.lastChosen, size) < this.policy.cost(chosen, size)) ? this.lastChosen
				: chosen;
	}

	/**
	 * What a rack costs more that may have no worker for a size. It doubles with each
	 * refusal, so that no weights lead to one refusal after the other.
	 * @param size what the task asks for
	 * @return the cost, 0 if the size was not refused of late
	 */
	private double refusalPenalty(Resources size) {
		int exponent = this.penaltyExponents.getOrDefault(size, 0);
		return (exponent > 0) ? Math.scalb(1.0, exponent) : 0;
	}

	private RackEntry lowestCost(List<RackEntry> racks, int from, int to, Resources size,
			Map<String, Integer> replicasByRack) {
		RackEntry best = null;
		int fewestReplicas = 0;
		double leastCost = 0;
		double penalty = refusalPenalty(size);
		for (int index = from; index < to; index++) {
			RackEntry entry = racks.get(index);
			if (!entry.fits(size)) {
				continue;
			}
			int replicas = replicasByRack.getOrDefault(entry.rack(), 0);
			if (best != null && replicas > fewestReplicas) {
				continue;
			}
			double cost = this.policy.cost(entry, size) + ((entry.estimatedTaskCount(size) == 0) ? penalty : 0);
			if (best == null || replicas < fewestReplicas || cost < leastCost
					|| (cost == leastCost && entry.rack().compareTo(best.rack()) < 0)) {
				best = entry;
				fewestReplicas = replicas;
				leastCost = cost;
			}
		}
		return best;
	}

	private void rebuildIndex() {
		if (this.indexed) {
			return;
		}
		this.indexed = true;
		this.allEntries.clear();
		this.allEntries.addAll(this.entries.values());
		this.entriesByDomain.clear();
		this.allEntries.forEach((entry) -> this.entriesByDomain
			.computeIfAbsent(entry.summary().failureDomain(), (domain) -> new ArrayList<>())
			.add(entry));
	}

	/**
	 * The session that owns a rack, as its summaries say.
	 * @param rack the rack
	 * @return the session
	 */
	public Optional<String> ownerSession(String rack) {
		return Optional.ofNullable(this.entries.get(rack)).map((entry) -> entry.session());
	}

	/**
	 * Tell whether all known racks have heard from their workers.
	 * @return {@code true} if there is a rack and all are settled
	 */
	public boolean haveAllWorkersReported() {
		return !this.entries.isEmpty() && this.entries.values().stream().allMatch((entry) -> entry.summary().settled());
	}

	/**
	 * Epochs of the racks' ownerships, as their summaries say.
	 * @return the epoch of each known rack
	 */
	public Map<String, Long> epochs() {
		Map<String, Long> epochs = new TreeMap<>();
		this.entries.forEach((rack, entry) -> epochs.put(rack, entry.summary().epoch()));
		return epochs;
	}

	/**
	 * Number of racks known.
	 * @return the count
	 */
	public int rackCount() {
		return this.entries.size();
	}

	/**
	 * The generator that choices draw from.
	 * @return the generator
	 */
	UniformRandomProvider random() {
		return this.random;
	}

}
