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
 * Directory of the racks as a queue owner knows them from the summaries of their owners,
 * from which it chooses a rack for each task. Each choice is deducted from the free
 * capacity of its rack, so that one round does not send all tasks to the same rack. A
 * choice considers a random sample of the racks, and the others only if none in the
 * sample fits. Not thread-safe: confined to the control thread.
 */
public final class RackDirectory {

	private static final int SAMPLE_SIZE = 64;

	private static final int MAXIMUM_PENALTY_EXPONENT = 30;

	private final Map<String, RackEntry> entries = new TreeMap<>();

	private final Map<String, List<RackEntry>> entriesByDomain = new TreeMap<>();

	private final List<RackEntry> allEntries = new ArrayList<>();

	private final Set<Resources> listedWorkerSizes = new HashSet<>();

	private final Set<String> listedRacks = new HashSet<>();

	private final UniformRandomProvider random;

	private RackPolicy policy = new WeightedRackPolicy(PolicyWeights.EQUAL);

	private final Map<Resources, Integer> penaltyExponents = new HashMap<>();

	private Resources listedCapacity = Resources.NONE;

	private RackEntry lastChosen;

	private final List<RackEntry> entriesChosenThisRound = new ArrayList<>();

	private boolean indexed;

	public RackDirectory(UniformRandomProvider random) {
		this.random = random;
	}

	/**
	 * Replace the summaries of one rack owner. A summary is ignored if another session
	 * has sent one of a later epoch for the same rack.
	 * @param session the session of the rack owner
	 * @param summaries summaries of all racks that it owns
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
	 * Remove the racks of a session, because the session has expired.
	 * @param session the session
	 */
	public void removeSession(String session) {
		this.entries.values().removeIf((entry) -> entry.session().equals(session));
		this.lastChosen = null;
		this.indexed = false;
	}

	/**
	 * Apply the host list, which holds the size of all workers, including unresponsive
	 * ones.
	 * @param hosts the listed hosts
	 */
	public void updateHosts(Collection<Host> hosts) {
		this.listedWorkerSizes.clear();
		this.listedRacks.clear();
		this.listedCapacity = Resources.NONE;
		for (Host host : hosts) {
			if (host.kind() == HostKind.WORKER) {
				this.listedWorkerSizes.add(host.capacity());
				this.listedRacks.add(host.rack());
				this.listedCapacity = this.listedCapacity.plus(host.capacity());
			}
		}
	}

	/**
	 * Return whether tasks can fit while the cell is empty: a listed worker is large
	 * enough for one task, and the total capacity is enough for all of them.
	 * @param size the size of each task
	 * @param taskCount the number of tasks that must run at the same time
	 * @return {@code false} only if the host list has been read and the tasks cannot fit
	 */
	public boolean canEverFit(Resources size, int taskCount) {
		if (this.listedWorkerSizes.isEmpty()) {
			return true;
		}
		return this.listedWorkerSizes.stream().anyMatch((worker) -> worker.covers(size))
				&& this.listedCapacity.fitCount(size) >= taskCount;
	}

	/**
	 * Return the capacity of the cell: that of all listed workers, or of all known racks
	 * before the host list has been read.
	 * @return the total capacity
	 */
	public Resources capacity() {
		if (!this.listedWorkerSizes.isEmpty()) {
			return this.listedCapacity;
		}
		return this.entries.values().stream().map(RackEntry::capacity).reduce(Resources.NONE, Resources::plus);
	}

	/**
	 * Begin a round of choices.
	 * @param rackPolicy the policy that ranks the racks in this round
	 */
	public void beginRound(RackPolicy rackPolicy) {
		this.policy = rackPolicy;
		this.entriesChosenThisRound.forEach(RackEntry::beginRound);
		this.entriesChosenThisRound.clear();
		this.lastChosen = null;
	}

	/**
	 * Choose a rack for one task.
	 * @param kind the kind of its job; services are spread over failure domains and racks
	 * @param size the size of the task
	 * @param replicasByRack the number of tasks of the job that each rack holds already
	 * @return the name of the rack, or empty if the task fits in none
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
	 * Undo a choice whose capacity was not reserved, or has been released.
	 * @param rack the rack
	 * @param size the size of the task
	 */
	public void undoChoice(String rack, Resources size) {
		RackEntry entry = this.entries.get(rack);
		if (entry != null) {
			entry.restore(size);
		}
	}

	/**
	 * Record that a rack owner had no worker for a size. The rack is not chosen for that
	 * size until its summary shows more free capacity, or until a few summaries later:
	 * expired reservations of other queue owners may have freed capacity that no change
	 * of the summary shows.
	 * @param rack the rack
	 * @param size the size of the task
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
	 * Record that a rack owner accepted a size, which lowers the penalty of that size.
	 * @param size the size of the task
	 */
	public void recordAcceptance(Resources size) {
		this.penaltyExponents.computeIfPresent(size, (key, exponent) -> (exponent > 1) ? exponent / 2 : null);
	}

	/**
	 * Record capacity that was freed on one worker since the last summary.
	 * @param rack the rack
	 * @param size the freed capacity
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

	/**
	 * Choose the best rack of a random sample, or of the remaining racks if none in the
	 * sample fits. The rack chosen last is kept if it costs less and its size has not
	 * been refused recently.
	 * @param racks the racks, reordered to draw the sample
	 * @param size the size of the task
	 * @param replicasByRack the number of tasks of the job that each rack holds already
	 * @return the rack, {@code null} if the task fits in none
	 */
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
	 * Return the extra cost of racks in which it is uncertain that a size fits. It
	 * doubles with each refusal, so that it soon outweighs any policy weights that would
	 * lead to one refusal after another.
	 * @param size the size of the task
	 * @return the extra cost, 0 without recent refusals of that size
	 */
	private double refusalPenalty(Resources size) {
		int exponent = this.penaltyExponents.getOrDefault(size, 0);
		return (exponent > 0) ? Math.scalb(1.0, exponent) : 0;
	}

	/**
	 * Find the rack with the fewest replicas, and among these the one with the lowest
	 * cost.
	 * @param racks the racks
	 * @param from index of the first rack to consider
	 * @param to index after the last rack to consider
	 * @param size the size of the task
	 * @param replicasByRack the number of tasks of the job that each rack holds already
	 * @return the rack, {@code null} if the task fits in none
	 */
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
	 * Return the session that owns a rack according to its summary.
	 * @param rack the rack
	 * @return the session, or empty if the rack is unknown
	 */
	public Optional<String> ownerSession(String rack) {
		return Optional.ofNullable(this.entries.get(rack)).map((entry) -> entry.session());
	}

	/**
	 * Return whether all workers of all known racks have reported to the present owners.
	 * @return {@code true} if at least one rack is known and all of them are settled
	 */
	public boolean haveAllWorkersReported() {
		return !this.entries.isEmpty() && this.entries.values().stream().allMatch((entry) -> entry.summary().settled());
	}

	/**
	 * Return whether the owner of each listed rack is known and all workers have reported
	 * to it. Other racks do not stand for a listed one that is unknown.
	 * @return {@code false} also while no host list has been read
	 */
	public boolean areAllRacksKnown() {
		return !this.listedRacks.isEmpty() && this.entries.keySet().containsAll(this.listedRacks)
				&& haveAllWorkersReported();
	}

	/**
	 * Return the ownership epochs of the racks according to their summaries.
	 * @return the epoch of each known rack by its name
	 */
	public Map<String, Long> epochs() {
		Map<String, Long> epochs = new TreeMap<>();
		this.entries.forEach((rack, entry) -> epochs.put(rack, entry.summary().epoch()));
		return epochs;
	}

	/**
	 * Return the number of known racks.
	 * @return the number of racks
	 */
	public int rackCount() {
		return this.entries.size();
	}

	/**
	 * Return the random number generator of this queue owner.
	 * @return the generator
	 */
	UniformRandomProvider random() {
		return this.random;
	}

}
