package org.monsoonrelay.benchmarks.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * A day of unlike work, drawn from a seed and scaled to the workers. Batch work comes
 * mostly at night, urgent work by day. A model, not a recording. Not thread-safe.
 */
final class GeneratedDay {

	static final long MILLIS = 24 * 3_600_000L;

	private static final long MINUTE = 60_000;

	private static final int WORKERS_OF_RATES = 30;

	private final UniformRandomProvider random;

	private final double scale;

	private final int processors;

	private final List<DayJob> jobs = new ArrayList<>();

	private GeneratedDay(long seed, int workers, int processors) {
		this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
		this.scale = (double) workers / WORKERS_OF_RATES;
		this.processors = processors;
	}

	static List<DayJob> of(long seed, int workers, int processors) {
		GeneratedDay day = new GeneratedDay(seed, workers, processors);
		day.arrive(DayLabel.SERVICE, WorkloadKind.SERVICE, 24, 240, 480);
		day.arrive(DayLabel.BATCH, WorkloadKind.BATCH, 2000, 4, 30);
		day.arrive(DayLabel.LARGE, WorkloadKind.BATCH, 170, 10, 50);
		day.arrive(DayLabel.ACCELERATOR, WorkloadKind.BATCH, 220, 10, 50);
		day.arrive(DayLabel.GANG, WorkloadKind.GANG, 90, 5, 25);
		day.arrive(DayLabel.URGENT, WorkloadKind.BATCH, 1200, 1, 4);
		day.jobs.sort(Comparator.comparingLong(DayJob::arrivesMillis).thenComparing(DayJob::id));
		return List.copyOf(day.jobs);
	}

	private void arrive(DayLabel label, WorkloadKind kind, int perDay, int shortestMinutes, int longestMinutes) {
		for (int index = 0; index < perDay * this.scale; index++) {
			long runs = between(shortestMinutes, longestMinutes) * MINUTE + this.random.nextLong(MINUTE);
			this.jobs.add(new DayJob(new JobId(label.name() + "-" + index, "day"), label, kind, arrival(label),
					tasks(label), size(label), runs));
		}
	}

	private long arrival(DayLabel label) {
		long at = this.random.nextLong(MILLIS);
		boolean night = at < MILLIS / 3;
		boolean again = (label == DayLabel.URGENT) ? night : !night;
		return (label != DayLabel.SERVICE && again && this.random.nextInt(3) == 0) ? this.random.nextLong(MILLIS) : at;
	}

	private int tasks(DayLabel label) {
		return switch (label) {
			case SERVICE -> between(3, 8);
			case BATCH -> between(1, 12);
			case GANG -> between(4, 16);
			default -> 1;
		};
	}

	private Resources size(DayLabel label) {
		return switch (label) {
			case SERVICE -> new Resources(between(2, 4), 1024L * between(4, 12), 0);
			case BATCH -> new Resources(between(1, 6), 1024L * between(1, 12), 0);
			case LARGE -> new Resources(this.processors * 3 / 4, 1024L * between(16, 48), 0);
			case ACCELERATOR -> new Resources(between(2, 6), 1024L * between(4, 16), between(1, 4));
			case GANG -> new Resources(this.processors / 4, 1024L * between(4, 16), 0);
			case URGENT -> new Resources(between(1, 4), 1024L * between(1, 4), 0);
		};
	}

	private int between(int least, int most) {
		return least + this.random.nextInt(most - least + 1);
	}

}
