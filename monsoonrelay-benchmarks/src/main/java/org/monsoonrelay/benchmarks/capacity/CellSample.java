package org.monsoonrelay.benchmarks.capacity;

import java.util.List;

/**
 * What the processes of one test cell cost a second in a steady state. Immutable.
 *
 * @param workers number of workers, each with four tasks
 * @param schedulers number of schedulers
 * @param schedulerUsage each scheduler's usage a second
 * @param gatewayUsage the gateway's usage a second
 * @param tableReads reads and scans of the table a second
 * @param tableWrites transactions a second
 * @param applyProcessorSeconds processor time of the operators' command that applied the
 * text
 */
record CellSample(int workers, int schedulers, List<ProcessMeter.Usage> schedulerUsage, ProcessMeter.Usage gatewayUsage,
		double tableReads, double tableWrites, double applyProcessorSeconds) {

	CellSample {
		schedulerUsage = List.copyOf(schedulerUsage);
	}

	double schedulersProcessorSeconds() {
		return this.schedulerUsage.stream().mapToDouble(ProcessMeter.Usage::processorSeconds).sum();
	}

	double schedulersBytes() {
		return this.schedulerUsage.stream().mapToDouble((usage) -> usage.bytesIn() + usage.bytesOut()).sum();
	}

	double schedulerResidentMiB() {
		return this.schedulerUsage.stream().mapToDouble(ProcessMeter.Usage::residentMiB).max().orElse(0);
	}

}
