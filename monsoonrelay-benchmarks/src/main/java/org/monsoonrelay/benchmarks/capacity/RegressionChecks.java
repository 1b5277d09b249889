package org.monsoonrelay.benchmarks.capacity;

/**
 * Bounds that a change of the code must not pass. Sizes and counts are bounded as such;
 * times only as ratios between two sizes, because times differ between machines.
 * Stateless but for what was measured.
 */
final class RegressionChecks {

	/**
	 * Growth of the time a unit over four times the size: 1 for a cost in proportion, 4
	 * for one that grows with the square. Caches of the processor account for what is
	 * between.
	 */
	private static final double PROPORTIONAL = 2.5;

	private final SlopeTable slopes;

	private final CellTable cells;

	RegressionChecks(SlopeTable slopes, CellTable cells) {
		this.slopes = slopes;
		this.cells = cells;
	}

	void printTo(CapacityReport report) {
		report.section("regression bounds");
		report.check("heap of a listed host, B", this.slopes.heapByHosts().perUnit(), 450);
		report.check("heap of an owned worker, B", this.slopes.heapByWorkers().perUnit(), 1_600);
		report.check("heap of a running job of 4 tasks, B", this.slopes.heapByRunningJobs().perUnit(), 2_700);
		report.check("heap of a declared workload, B", this.slopes.heapByDeclared().perUnit(), 550);
		report.check("announcement of a rack, B", this.slopes.announcementByRacks().perUnit(), 60);
		report.check("announcement of a team, B", this.slopes.announcementByTeams().perUnit(), 10);
		report.check("report of a running task, B", this.slopes.reportByTasks().perUnit(), 200);
		report.check("start of a task in a command, B", this.slopes.commandByStarts().perUnit(), 200);
		report.check("peer messages of a placed task, B", this.slopes.peerBytesByStarts().perUnit(), 550);
		report.check("host list of a host, B", this.slopes.hostListBytes().perUnit(), 300);
		report.check("journal rows of a task that runs once", this.slopes.journalRows().perUnit(), 0.35);
		report.check("journal transactions of a task that runs once", this.slopes.journalTransactions().perUnit(),
				0.006);
		report.check("table transactions of a keyed request", this.slopes.keyedTransactions().perUnit(), 2);
		report.check("table reads of a keyed request", this.slopes.keyedReads().perUnit(), 2);
		report.check("heap of a request in a gateway, B", this.slopes.heapByRequests().perUnit(), 800);
		report.check("heap of a caller's connection, B", this.slopes.heapByConnections().perUnit(), 10_000);
		report.check("table reads of a scheduler, 1/s", this.cells.readsBySchedulers().perUnit(), 2.8);
		report.check("table transactions of a scheduler, 1/s", this.cells.writesBySchedulers().perUnit(), 1.3);
		report.check("queue's turn, growth of time a job", growth(this.slopes.turnByOwnJobs()), PROPORTIONAL);
		report.check("heartbeats, growth of time a worker", growth(this.slopes.heartbeatByWorkers()), PROPORTIONAL);
	}

	private static double growth(Slope slope) {
		Point first = slope.points().get(0);
		Point last = slope.points().get(slope.points().size() - 1);
		return (last.value() / last.size()) / (first.value() / first.size());
	}

}
