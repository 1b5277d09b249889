package org.monsoonrelay.benchmarks.placement;

import java.util.Map;

import org.HdrHistogram.Histogram;

/**
 * What a generated day gave under one placer. Waiting is counted for each task, and for
 * tasks still waiting at the end of the day until then.
 *
 * @param name the placer
 * @param waits waiting times in milliseconds by label
 * @param usedShare used share of the processors of workers that hold anything, as an
 * average over the minutes of the day
 * @param emptyWorkers workers that hold nothing, as an average over the minutes
 * @param placed tasks placed
 * @param left tasks that still waited at the end
 * @param messages messages to racks' owners
 * @param refusals tasks that a rack's owner refused
 * @param inOneDomain share of a service's replicas in the failure domain that has most of
 * them, as an average over the services
 */
record DayResult(String name, Map<DayLabel, Histogram> waits, double usedShare, double emptyWorkers, long placed,
		long left, long messages, long refusals, double inOneDomain) {

	double waitSeconds(DayLabel label, double percentile) {
		return this.waits.get(label).getValueAtPercentile(percentile) / 1000.0;
	}

	/**
	 * Waiting of all tasks at a percentile.
	 * @param percentile the percentile
	 * @return seconds
	 */
	double waitSeconds(double percentile) {
		Histogram all = new Histogram(3);
		this.waits.values().forEach(all::add);
		return all.getValueAtPercentile(percentile) / 1000.0;
	}

	double messagesATask() {
		return (double) this.messages / Math.max(1, this.placed);
	}

}
