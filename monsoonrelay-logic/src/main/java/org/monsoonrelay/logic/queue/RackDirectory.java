package org.monsoonrelay.logic.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;
import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * What a queue owner knows of the racks, from their owners' summaries. Each choice takes
 * its room off the summary, so that one round does not send everything to one rack. Not
 * thread-safe: confined to the control thread.
 */
public final class RackDirectory {

	private static final int SAMPLE = 16;

	private final Map<String, Entry> entries = new TreeMap<>();

	private final UniformRandomProvider random;

	public RackDirectory(UniformRandomProvider random) {
		this.random = random;
	}

	/**
	 * Take in an owner's summaries, in place of what it sent before.
	 * @param session the owner's session
	 * @param summaries all racks it owns
	 */
	public void update(String session, Collection<RackSummary> summaries) {
		this.entries.values().removeIf((entry) -> entry.session.equals(session));
		for (RackSummary summary : summaries) {
			Entry present = this.entries.get(summary.rack());
			if (present == null || present.summary.epoch() <= summary.epoch()) {
				this.entries.put(summary.rack(), new Entry(session, summary, summary.free(), summary.workers()));
			}
		}
	}

	/**
	 * Drop what a session sent, because it lapsed.
	 * @param session the session
	 */
	public void drop(String session) {
		this.entries.values().removeIf((entry) -> entry.session.equals(session));
	}

	/**
	 * Choose a rack for one task.
	 * @param kind how the tasks of its job belong together
	 * @param size what the task asks for
	 * @param replicasByRack how many tasks of the job each rack holds already
	 * @return the rack, or empty if none seems to have room
	 */
	public Optional<String> choose(WorkloadKind kind, Resources size, Map<String, Integer> replicasByRack) {
		Optional<Entry> chosen = best(sample(), kind, size, replicasByRack);
		if (chosen.isEmpty() && this.entries.size() > SAMPLE) {
			chosen = best(this.entries.values(), kind, size, replicasByRack);
		}
		chosen.ifPresent((entry) -> entry.free = entry.free.minus(size));
		return chosen.map((entry) -> entry.summary.rack());
	}

	private Collection<Entry> sample() {
		List<Entry> all = new ArrayList<>(this.entries.values());
		if (all.size() <= SAMPLE) {
			return all;
		}
		ListSampler.shuffle(this.random, all);
		return all.subList(0, SAMPLE);
	}

	private static Optional<Entry> best(Collection<Entry> entries, WorkloadKind kind, Resources size,
			Map<String, Integer> replicasByRack) {
		Comparator<Entry> order = Comparator.comparingDouble(Entry::freeShare);
		if (kind == WorkloadKind.SERVICE) {
			order = Comparator.comparingInt((Entry entry) -> replicasByRack.getOrDefault(entry.summary.rack(), 0))
				.thenComparing(order);
		}
		return entries.stream()
			.filter((entry) -> entry.fits(size))
			.min(order.thenComparing((entry) -> entry.summary.rack()));
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

	private static final class Entry {

		private final String session;

		private final RackSummary summary;

		private Resources free;

		private final int workers;

		Entry(String session, RackSummary summary, Resources free, int workers) {
			this.session = session;
			this.summary = summary;
			this.free = free;
			this.workers = workers;
		}

		boolean fits(Resources size) {
			return this.workers > 0 && this.free.covers(size) && this.summary.largestProcessors() >= size.processors();
		}

		double freeShare() {
			return (double) this.free.processors() / Math.max(1, this.summary.capacity().processors());
		}

	}

}
