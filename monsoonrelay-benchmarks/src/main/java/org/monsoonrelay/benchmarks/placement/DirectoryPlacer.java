package org.monsoonrelay.benchmarks.placement;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.rng.simple.RandomSource;
import org.monsoonrelay.logic.placement.PackingPolicy;
import org.monsoonrelay.logic.placement.PlacementPolicy;
import org.monsoonrelay.logic.placement.SpreadPolicy;
import org.monsoonrelay.logic.placement.WeightedRackPolicy;
import org.monsoonrelay.logic.queue.RackDirectory;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.Worker;
import org.monsoonrelay.model.workload.PolicyWeights;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * The product's policies: several queue owners, each with a directory whose summaries are
 * up to a second old, and racks' owners that decide on the workers themselves. Not
 * thread-safe.
 */
final class DirectoryPlacer implements DayPlacer {

	private static final int QUEUE_OWNERS = 3;

	private static final long SUMMARY_MILLIS = 1000;

	private static final String SESSION = "session";

	private final BenchmarkCell cell;

	private final WeightedRackPolicy weighted;

	private final List<RackDirectory> directories = new ArrayList<>();

	private final long[] readAtMillis = new long[QUEUE_OWNERS];

	private final Map<JobId, Map<String, Integer>> replicas = new HashMap<>();

	private final PlacementPolicy packing = new PackingPolicy();

	private final PlacementPolicy spreading = new SpreadPolicy();

	private long attempts;

	private long messages;

	private long refusals;

	DirectoryPlacer(BenchmarkCell cell, PolicyWeights weights, long seed) {
		this.cell = cell;
		this.weighted = new WeightedRackPolicy(weights);
		for (int owner = 0; owner < QUEUE_OWNERS; owner++) {
			this.directories.add(new RackDirectory(RandomSource.XO_RO_SHI_RO_128_PP.create(seed + owner)));
			this.readAtMillis[owner] = -SUMMARY_MILLIS;
		}
	}

	@Override
	public void beginRound(long nowMillis) {
		for (int owner = 0; owner < QUEUE_OWNERS; owner++) {
			if (nowMillis - this.readAtMillis[owner] >= SUMMARY_MILLIS) {
				long phase = owner * SUMMARY_MILLIS / QUEUE_OWNERS;
				this.readAtMillis[owner] = nowMillis - Math.floorMod(nowMillis - phase, SUMMARY_MILLIS);
				this.directories.get(owner).update(SESSION, this.cell.summaries());
			}
			this.directories.get(owner).beginRound(this.weighted);
		}
	}

	@Override
	public Map<AttemptId, Worker> place(DayJob job, int waiting) {
		RackDirectory directory = this.directories.get(Math.floorMod(job.id().hashCode(), QUEUE_OWNERS));
		boolean gang = job.kind() == WorkloadKind.GANG;
		Map<String, List<AttemptId>> byRack = choose(directory, job, waiting);
		int chosen = byRack.values().stream().mapToInt(List::size).sum();
		if (gang && chosen < job.tasks()) {
			byRack.forEach((rack, attempts) -> attempts.forEach((attempt) -> directory.undoChoice(rack, job.size())));
			return Map.of();
		}
		Map<AttemptId, Worker> placed = new LinkedHashMap<>();
		byRack.forEach((rack, attempts) -> {
			if (reserve(job, rack, attempts, placed) < attempts.size()) {
				directory.recordRefusal(rack, job.size());
			}
			else {
				directory.recordAcceptance(job.size());
			}
		});
		this.messages += byRack.size();
		this.refusals += chosen - placed.size();
		if (gang && placed.size() < job.tasks()) {
			placed.forEach((attempt, worker) -> worker.release(attempt));
			return Map.of();
		}
		return placed;
	}

	private Map<String, List<AttemptId>> choose(RackDirectory directory, DayJob job, int waiting) {
		Map<String, Integer> inRacks = this.replicas.computeIfAbsent(job.id(), (id) -> new HashMap<>());
		Map<String, List<AttemptId>> byRack = new LinkedHashMap<>();
		for (int task = 0; task < waiting; task++) {
			Optional<String> rack = directory.choose(job.kind(), job.size(), inRacks);
			if (rack.isEmpty()) {
				break;
			}
			if (job.kind() == WorkloadKind.SERVICE) {
				inRacks.merge(rack.get(), 1, Integer::sum);
			}
			byRack.computeIfAbsent(rack.get(), (name) -> new ArrayList<>()).add(attempt(job, task));
		}
		return byRack;
	}

	private AttemptId attempt(DayJob job, int task) {
		this.attempts++;
		return new AttemptId(job.id(), task, this.attempts);
	}

	private int reserve(DayJob job, String rack, List<AttemptId> attempts, Map<AttemptId, Worker> placed) {
		PlacementPolicy policy = (job.kind() == WorkloadKind.SERVICE) ? this.spreading : this.packing;
		int reserved = 0;
		for (AttemptId attempt : attempts) {
			Optional<Worker> worker = policy.choose(job.id(), job.size(), this.cell.rack(rack));
			if (worker.isPresent() && worker.get().reserve(attempt, job.size(), Instant.MAX)) {
				worker.get().grant(attempt);
				placed.put(attempt, worker.get());
				reserved++;
			}
		}
		return reserved;
	}

	@Override
	public long messages() {
		return this.messages;
	}

	@Override
	public long refusals() {
		return this.refusals;
	}

}
