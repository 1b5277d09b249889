package org.monsoonrelay.benchmarks.placement;

import java.io.PrintStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A small seeded model of the ways to divide a cell: racks are numbers of free slots,
 * tasks take one slot, time passes in ticks of a tenth of a second. The table takes a
 * bounded number of row writes and reads a second. It compares designs and predicts no
 * absolute figure. Ends of tasks are free of charge, which favours conditional commits.
 * Not thread-safe.
 */
final class OwnershipModel {

	private static final int TICKS_A_SECOND = 10;

	private static final int SECONDS = 60;

	private static final int TICKS = SECONDS * TICKS_A_SECOND;

	private static final int SLOTS_A_RACK = 40;

	private static final int TEAMS = 72;

	private static final int ROWS_WRITTEN_A_SECOND = 300;

	private static final int ROWS_READ_A_SECOND = 2000;

	private static final int RENEWAL_SECONDS = 3;

	private static final int TASKS_A_JOB = 20;

	private static final int ONCE_IN = 10;

	private static final int SAMPLE = 16;

	private static final long SEED = 20261202;

	private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);

	private final OwnershipDesign design;

	private final int schedulers;

	private final int startsASecond;

	private final int[] free;

	private final int[][] ending;

	private final int[][] known;

	private final long[] queued;

	private final int[] versions;

	private double rowsLeft;

	private long decisions;

	private long started;

	private double rowsWritten;

	private long conflicts;

	private long offered;

	private OwnershipModel(OwnershipDesign design, int schedulers, int racks, int startsASecond) {
		this.design = design;
		this.schedulers = schedulers;
		this.startsASecond = startsASecond;
		this.free = new int[racks];
		this.ending = new int[TICKS * 2][racks];
		this.known = new int[schedulers][racks];
		this.queued = new long[schedulers];
		this.versions = new int[racks];
		for (int rack = 0; rack < racks; rack++) {
			this.free[rack] = SLOTS_A_RACK;
		}
	}

	static OwnershipResult run(OwnershipDesign design, int schedulers, int racks, int startsASecond) {
		return new OwnershipModel(design, schedulers, racks, startsASecond).run();
	}

	private OwnershipResult run() {
		for (int tick = 0; tick < TICKS; tick++) {
			if (tick == TICKS / 2) {
				forgetStart();
			}
			tick(tick);
		}
		double seconds = SECONDS / 2.0;
		long waiting = 0;
		for (long tasks : this.queued) {
			waiting += tasks;
		}
		double renewals = (double) this.schedulers / RENEWAL_SECONDS;
		return new OwnershipResult(this.design, this.schedulers, this.offered / seconds, this.decisions / seconds,
				this.started / seconds, this.rowsWritten / seconds + renewals, this.conflicts / seconds, waiting);
	}

	private void forgetStart() {
		this.offered = 0;
		this.decisions = 0;
		this.started = 0;
		this.rowsWritten = 0;
		this.conflicts = 0;
	}

	private void tick(int tick) {
		for (int rack = 0; rack < this.free.length; rack++) {
			this.free[rack] += this.ending[tick][rack];
		}
		arrive();
		this.rowsLeft = Math.min(this.rowsLeft, 0) + (double) ROWS_WRITTEN_A_SECOND / TICKS_A_SECOND;
		int[] versionsBefore = this.versions.clone();
		int[] freeBefore = this.free.clone();
		int first = this.random.nextInt(this.schedulers);
		for (int offset = 0; offset < this.schedulers; offset++) {
			int scheduler = (first + offset) % this.schedulers;
			switch (this.design) {
				case OWNER_A_RACK -> placeBySummaries(tick, scheduler);
				case CONDITIONAL_COMMITS -> placeByClaims(tick, scheduler, versionsBefore, freeBefore);
				case STATIC_SPLIT -> placeInOwnRacks(tick, scheduler);
			}
		}
	}

	/**
	 * Jobs arrive for teams of unlike size: the n-th has a share proportional to 1/n.
	 */
	private void arrive() {
		double harmonic = 0;
		for (int team = 1; team <= TEAMS; team++) {
			harmonic += 1.0 / team;
		}
		for (int team = 1; team <= TEAMS; team++) {
			double expected = this.startsASecond / harmonic / team / TICKS_A_SECOND;
			int tasks = (int) expected + ((this.random.nextDouble() < expected % 1) ? 1 : 0);
			this.queued[team % this.schedulers] += tasks;
			this.offered += tasks;
		}
	}

	private void placeBySummaries(int tick, int scheduler) {
		if ((tick + scheduler) % TICKS_A_SECOND == 0) {
			this.known[scheduler] = this.free.clone();
		}
		long tasks = this.queued[scheduler];
		int placed = 0;
		for (long task = 0; task < tasks; task++) {
			int rack = bestKnown(scheduler);
			if (rack < 0) {
				break;
			}
			this.decisions++;
			this.known[scheduler][rack]--;
			if (this.free[rack] > 0) {
				start(tick, scheduler, rack);
				placed++;
			}
			else {
				this.conflicts++;
			}
		}
		recordOnce(placed);
	}

	private int bestKnown(int scheduler) {
		int best = -1;
		for (int draw = 0; draw < SAMPLE; draw++) {
			int rack = this.random.nextInt(this.free.length);
			if (this.known[scheduler][rack] > 0
					&& (best < 0 || this.known[scheduler][rack] > this.known[scheduler][best])) {
				best = rack;
			}
		}
		return best;
	}

	/**
	 * Read as many racks as the table gives, fill them, and claim each with one
	 * conditional write, which fails if another scheduler wrote the row since.
	 * @param tick the tick
	 * @param scheduler the scheduler
	 * @param versionsRead versions of the rows at the start of the tick
	 * @param freeRead free slots at the start of the tick
	 */
	private void placeByClaims(int tick, int scheduler, int[] versionsRead, int[] freeRead) {
		int reads = Math.max(1, ROWS_READ_A_SECOND / TICKS_A_SECOND / this.schedulers);
		for (int read = 0; read < reads && this.queued[scheduler] > 0 && this.rowsLeft >= 1; read++) {
			int rack = this.random.nextInt(this.free.length);
			long tasks = Math.min(this.queued[scheduler], freeRead[rack]);
			if (tasks == 0) {
				continue;
			}
			this.decisions += tasks;
			this.rowsLeft--;
			this.rowsWritten++;
			if (this.versions[rack] != versionsRead[rack]) {
				this.conflicts += tasks;
				continue;
			}
			this.versions[rack]++;
			for (long task = 0; task < tasks; task++) {
				start(tick, scheduler, rack);
			}
		}
	}

	private void placeInOwnRacks(int tick, int scheduler) {
		int placed = 0;
		for (int rack = scheduler; rack < this.free.length; rack += this.schedulers) {
			while (this.free[rack] > 0 && this.queued[scheduler] > 0) {
				this.decisions++;
				start(tick, scheduler, rack);
				placed++;
			}
		}
		recordOnce(placed);
	}

	/**
	 * One row a job; a tenth of the jobs must run once and are recorded before the start.
	 * @param tasks the tasks started
	 */
	private void recordOnce(int tasks) {
		this.rowsWritten += (double) tasks / TASKS_A_JOB / ONCE_IN;
	}

	private void start(int tick, int scheduler, int rack) {
		this.queued[scheduler]--;
		this.free[rack]--;
		this.started++;
		int runs = TICKS_A_SECOND + this.random.nextInt(7 * TICKS_A_SECOND);
		this.ending[Math.min(tick + runs, TICKS * 2 - 1)][rack]++;
	}

	static Map<OwnershipDesign, OwnershipResult> compare(PrintStream out, int schedulers, int racks, int starts) {
		out.printf("model of ownership: %d schedulers, %d racks, %d task starts a second offered%n", schedulers, racks,
				starts);
		out.printf("%-20s %12s %12s %12s %12s %12s%n", "design", "decisions/s", "started/s", "rows/s", "conflicts/s",
				"waiting");
		Map<OwnershipDesign, OwnershipResult> results = new HashMap<>();
		for (OwnershipDesign design : List.of(OwnershipDesign.values())) {
			OwnershipResult result = run(design, schedulers, racks, starts);
			results.put(design, result);
			out.printf("%-20s %12.0f %12.0f %12.1f %12.1f %12d%n", design, result.decisions(), result.started(),
					result.rowsWritten(), result.conflicts(), result.waiting());
		}
		return results;
	}

}
