package org.monsoonrelay.benchmarks.placement;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.monsoonrelay.logic.placement.PackingPolicy;
import org.monsoonrelay.logic.placement.PlacementPolicy;
import org.monsoonrelay.logic.placement.WeightedRackPolicy;
import org.monsoonrelay.logic.queue.RackDirectory;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.Worker;
import org.monsoonrelay.model.workload.PolicyWeights;
import org.monsoonrelay.model.workload.WorkloadKind;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Time of one placement decision in a cell whose first four fifths are full, as packing
 * leaves it: choose a worker, reserve the room and give it back. The state belongs to one
 * benchmark thread.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionBenchmark {

	static final String SMALL = "30";

	static final String LARGE = "10000";

	private static final int PROCESSORS = 64;

	private static final long MEMORY_MIB = 128 * 1024;

	private static final Resources FILLER = new Resources(4, 8 * 1024, 0);

	private static final Resources TASK = new Resources(2, 4 * 1024, 0);

	private static final double FILLED = 0.8;

	private static final JobId JOB = new JobId("roster", "1");

	/** Workers of the cell. */
	@Param({ SMALL, LARGE })
	public int workers;

	private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(1);

	private final PlacementPolicy packing = new PackingPolicy();

	private final PlacementPolicy firstFit = new FirstFitPolicy();

	private final PlacementPolicy randomFit = new RandomFitPolicy(this.random);

	private BenchmarkCell cell;

	private RackDirectory directory;

	private long attempts;

	@Setup
	public void fill() {
		this.cell = new BenchmarkCell(this.workers, PROCESSORS, MEMORY_MIB);
		JobId filler = new JobId("filler", "1");
		for (Worker worker : this.cell.workers().subList(0, (int) (FILLED * this.workers))) {
			for (int task = 0; task < PROCESSORS / FILLER.processors(); task++) {
				this.attempts++;
				worker.reserve(new AttemptId(filler, task, this.attempts), FILLER, Instant.MAX);
			}
		}
		this.directory = new RackDirectory(this.random);
		this.directory.update("session", this.cell.summaries());
		this.directory.beginRound(new WeightedRackPolicy(PolicyWeights.EQUAL));
	}

	@Benchmark
	public boolean directory() {
		String rack = this.directory.choose(WorkloadKind.BATCH, TASK, Map.of()).orElseThrow();
		boolean held = hold(this.packing.choose(JOB, TASK, this.cell.rack(rack)));
		this.directory.undoChoice(rack, TASK);
		return held;
	}

	@Benchmark
	public boolean firstFit() {
		return hold(this.firstFit.choose(JOB, TASK, this.cell.workers()));
	}

	@Benchmark
	public boolean randomFit() {
		return hold(this.randomFit.choose(JOB, TASK, this.cell.workers()));
	}

	private boolean hold(Optional<Worker> chosen) {
		this.attempts++;
		AttemptId attempt = new AttemptId(JOB, 0, this.attempts);
		boolean held = chosen.filter((worker) -> worker.reserve(attempt, TASK, Instant.MAX)).isPresent();
		chosen.ifPresent((worker) -> worker.release(attempt));
		return held;
	}

}
