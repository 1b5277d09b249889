package org.monsoonrelay.benchmarks.capacity;

/**
 * The slopes that are measured inside this process. Immutable.
 *
 * @param heapByHosts bytes of heap by listed hosts
 * @param heapByWorkers bytes of heap by owned workers, the host list included
 * @param heapByRunningJobs bytes of heap by running jobs of four tasks
 * @param heapByDeclared bytes of heap by declared workloads
 * @param placementByRacks nanoseconds of a placement by known racks
 * @param heartbeatByWorkers nanoseconds of a round of heartbeats by workers
 * @param turnByOtherWorkloads nanoseconds of a queue's turn by other teams' workloads
 * @param turnByOwnJobs nanoseconds of a queue's turn by its own jobs
 * @param announcementByRacks bytes of an announcement by racks
 * @param announcementByTeams bytes of an announcement by teams
 * @param announcementByFinished bytes of an announcement by finished workloads
 * @param reportByTasks bytes of a worker's report by tasks
 * @param commandByStarts bytes of a command by tasks started
 * @param codecNanosByTasks nanoseconds of writing a heartbeat and reading its report
 * @param peerBytesByStarts bytes between queue and rack owner by tasks
 * @param hostListBytes bytes of the host list by hosts
 * @param hostListNanos nanoseconds of reading it
 * @param ownerBytes bytes of a reading of all owners by rows
 * @param ownerNanos nanoseconds of reading it
 * @param changeBytes bytes that a process reads for one change by declared workloads
 * @param changeNanos nanoseconds of putting it in force
 * @param journalRows rows written by tasks that run once
 * @param journalTransactions transactions by tasks that run once
 * @param journalBytesOfOneJob bytes written by tasks of one job
 * @param keyedTransactions transactions by requests with a key
 * @param keyedReads reads of rows by requests with a key
 * @param keyedBytes bytes written by requests with a key
 * @param heapByRequests bytes of heap by requests in a gateway
 * @param heapByConnections bytes of heap by callers' connections
 */
record SlopeTable(Slope heapByHosts, Slope heapByWorkers, Slope heapByRunningJobs, Slope heapByDeclared,
		Slope placementByRacks, Slope heartbeatByWorkers, Slope turnByOtherWorkloads, Slope turnByOwnJobs,
		Slope announcementByRacks, Slope announcementByTeams, Slope announcementByFinished, Slope reportByTasks,
		Slope commandByStarts, Slope codecNanosByTasks, Slope peerBytesByStarts, Slope hostListBytes,
		Slope hostListNanos, Slope ownerBytes, Slope ownerNanos, Slope changeBytes, Slope changeNanos,
		Slope journalRows, Slope journalTransactions, Slope journalBytesOfOneJob, Slope keyedTransactions,
		Slope keyedReads, Slope keyedBytes, Slope heapByRequests, Slope heapByConnections) {

	private static final String BYTES = "B";

	private static final String NANOS = "ns";

	/**
	 * Measure them all.
	 * @param report where each is printed
	 * @return the slopes
	 */
	static SlopeTable measure(CapacityReport report) {
		report.section("slopes measured in one process");
		return new SlopeTable(report.slope("heap by listed hosts", BYTES, SchedulerSlopes.heapByHosts()),
				report.slope("heap by owned workers", BYTES, SchedulerSlopes.heapByWorkers()),
				report.slope("heap by running jobs of 4 tasks", BYTES, SchedulerSlopes.heapByRunningJobs()),
				report.slope("heap by declared workloads", BYTES, SchedulerSlopes.heapByDeclared()),
				report.slope("placement by known racks", NANOS, SchedulerSlopes.placementByRacks()),
				report.slope("round of heartbeats by workers", NANOS, SchedulerSlopes.heartbeatByWorkers()),
				report.slope("queue's turn by other teams' workloads", NANOS, SchedulerSlopes.turnByOtherWorkloads()),
				report.slope("queue's turn by own jobs", NANOS, SchedulerSlopes.turnByOwnJobs()),
				report.slope("announcement by racks", BYTES, WireSlopes.announcementByRacks()),
				report.slope("announcement by teams", BYTES, WireSlopes.announcementByTeams()),
				report.slope("announcement by finished workloads", BYTES, WireSlopes.announcementByFinished()),
				report.slope("worker's report by tasks", BYTES, WireSlopes.reportByTasks()),
				report.slope("command by tasks started", BYTES, WireSlopes.commandByStarts()),
				report.slope("JSON of a heartbeat by tasks", NANOS, WireSlopes.codecNanosByTasks()),
				report.slope("peer messages by tasks placed", BYTES, WireSlopes.peerBytesByStarts()),
				report.slope("host list by hosts", BYTES, PlatformSlopes.hostListBytes()),
				report.slope("reading the host list by hosts", NANOS, PlatformSlopes.hostListNanos()),
				report.slope("owners by rows", BYTES, PlatformSlopes.ownerBytes()),
				report.slope("reading the owners by rows", NANOS, PlatformSlopes.ownerNanos()),
				report.slope("one change by declared workloads", BYTES, PlatformSlopes.changeBytes()),
				report.slope("putting a change in force by workloads", NANOS, PlatformSlopes.changeNanos()),
				report.slope("journal rows by tasks that run once", "rows", PlatformSlopes.journalRows()),
				report.slope("journal transactions by tasks that run once", "transactions",
						PlatformSlopes.journalTransactions()),
				report.slope("journal bytes by tasks of one job", BYTES, PlatformSlopes.journalBytesOfOneJob()),
				report.slope("table transactions by keyed requests", "transactions", KeyedRequestSlopes.transactions()),
				report.slope("table reads by keyed requests", "reads", KeyedRequestSlopes.reads()),
				report.slope("bytes written by keyed requests", BYTES, KeyedRequestSlopes.bytesWritten()),
				report.slope("heap by requests in a gateway", BYTES, GatewaySlopes.heapByRequests()),
				report.slope("heap by callers' connections", BYTES, GatewaySlopes.heapByConnections()));
	}

}
