package org.monsoonrelay.benchmarks.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * What cells of real processes cost at five sizes. Immutable.
 *
 * @param byWorkers samples of cells that differ in their workers only
 * @param bySchedulers samples of cells that differ in their schedulers only
 * @param gatewayByRequests processor seconds of a gateway by requests
 */
record CellTable(List<CellSample> byWorkers, List<CellSample> bySchedulers, Slope gatewayByRequests) {

	private static final int FEW_WORKERS = 32;

	private static final int FEW_SCHEDULERS = 2;

	CellTable {
		byWorkers = List.copyOf(byWorkers);
		bySchedulers = List.copyOf(bySchedulers);
	}

	/**
	 * Run the cells.
	 * @param report where the samples are printed
	 * @param root the project's root
	 * @param settle how long each cell runs before it is measured
	 * @return the samples
	 * @throws IOException if a cell's files cannot be written
	 */
	static CellTable measure(CapacityReport report, Path root, Duration settle) throws IOException {
		report.section("cells of real processes");
		List<CellSample> byWorkers = new ArrayList<>();
		Slope gatewayByRequests;
		try (CellMeasurement cell = new CellMeasurement(root, FEW_WORKERS, FEW_SCHEDULERS)) {
			byWorkers.add(report.sample(cell.steady(settle)));
			gatewayByRequests = cell.gatewayByRequests();
		}
		for (int workers : new int[] { 64, 128 }) {
			byWorkers.add(report.sample(steady(root, workers, FEW_SCHEDULERS, settle)));
		}
		List<CellSample> bySchedulers = new ArrayList<>();
		bySchedulers.add(byWorkers.get(0));
		for (int schedulers : new int[] { 4, 6 }) {
			bySchedulers.add(report.sample(steady(root, FEW_WORKERS, schedulers, settle)));
		}
		CellTable table = new CellTable(byWorkers, bySchedulers, gatewayByRequests);
		report.slope("gateway by requests", "s", table.gatewayByRequests());
		report.slope("schedulers' processor time by workers", "s/s", table.processorByWorkers());
		report.slope("schedulers' bytes by workers", "B/s", table.bytesByWorkers());
		report.slope("a scheduler's resident memory by owned workers", "MiB", table.residentByOwnedWorkers());
		report.slope("schedulers' processor time by schedulers", "s/s", table.processorBySchedulers());
		report.slope("schedulers' bytes by schedulers", "B/s", table.bytesBySchedulers());
		report.slope("table reads by schedulers", "1/s", table.readsBySchedulers());
		report.slope("table transactions by schedulers", "1/s", table.writesBySchedulers());
		return table;
	}

	private static CellSample steady(Path root, int workers, int schedulers, Duration settle) throws IOException {
		try (CellMeasurement cell = new CellMeasurement(root, workers, schedulers)) {
			return cell.steady(settle);
		}
	}

	Slope processorByWorkers() {
		return fit(this.byWorkers, CellSample::workers, CellSample::schedulersProcessorSeconds);
	}

	Slope bytesByWorkers() {
		return fit(this.byWorkers, CellSample::workers, CellSample::schedulersBytes);
	}

	Slope residentByOwnedWorkers() {
		return fit(this.byWorkers, (sample) -> (double) sample.workers() / sample.schedulers(),
				CellSample::schedulerResidentMiB);
	}

	Slope processorBySchedulers() {
		return fit(this.bySchedulers, CellSample::schedulers, CellSample::schedulersProcessorSeconds);
	}

	Slope bytesBySchedulers() {
		return fit(this.bySchedulers, CellSample::schedulers, CellSample::schedulersBytes);
	}

	Slope readsBySchedulers() {
		return fit(this.bySchedulers, CellSample::schedulers, CellSample::tableReads);
	}

	Slope writesBySchedulers() {
		return fit(this.bySchedulers, CellSample::schedulers, CellSample::tableWrites);
	}

	double gatewayResidentMiB() {
		return this.byWorkers.stream().mapToDouble((sample) -> sample.gatewayUsage().residentMiB()).max().orElse(0);
	}

	double schedulerResidentMiB() {
		return this.byWorkers.stream().mapToDouble(CellSample::schedulerResidentMiB).max().orElse(0);
	}

	double gatewayProcessorShare() {
		return this.byWorkers.stream()
			.mapToDouble((sample) -> sample.gatewayUsage().processorSeconds())
			.min()
			.orElse(0);
	}

	private static Slope fit(List<CellSample> samples, ToDoubleFunction<CellSample> size,
			ToDoubleFunction<CellSample> value) {
		return Slope.through(samples.stream()
			.map((sample) -> new Point(size.applyAsDouble(sample), value.applyAsDouble(sample)))
			.toList());
	}

	static String line(CellSample sample) {
		return String.format(Locale.ROOT,
				"cell   workers=%d schedulers=%d: schedulers %.3f s/s %.0f B/s %.0f MiB the largest, "
						+ "gateway %.3f s/s %.0f B/s %.0f MiB, table reads=%.2f/s transactions=%.2f/s, apply %.2f s",
				sample.workers(), sample.schedulers(), sample.schedulersProcessorSeconds(), sample.schedulersBytes(),
				sample.schedulerResidentMiB(), sample.gatewayUsage().processorSeconds(),
				sample.gatewayUsage().bytesIn() + sample.gatewayUsage().bytesOut(), sample.gatewayUsage().residentMiB(),
				sample.tableReads(), sample.tableWrites(), sample.applyProcessorSeconds());
	}

}
