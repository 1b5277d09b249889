package org.monsoonrelay.benchmarks.capacity;

/**
 * The cost of each role at the size designed for, worked out from the slopes. An entry
 * host runs one gateway and one scheduler. Stateless but for what was measured.
 */
final class DesignedCosts {

	private static final double NANOS = 1e9;

	private static final double MIB = 1024 * 1024;

	private static final double TURNS_A_SECOND = 20;

	private static final int TASKS_A_JOB = 4;

	private static final int HOSTS = DesignSize.WORKERS + DesignSize.BACKEND_SERVERS;

	private static final double WORKERS_EACH = (double) DesignSize.WORKERS / DesignSize.ENTRY_HOSTS;

	private static final double RACKS_EACH = (double) DesignSize.RACKS / DesignSize.ENTRY_HOSTS;

	private static final double TEAMS_EACH = (double) DesignSize.TEAMS / DesignSize.ENTRY_HOSTS;

	/**
	 * Rows that a scheduler reads a second: sessions each second, owners now and then.
	 */
	private static final double SESSIONS_AND_OWNERS = DesignSize.ENTRY_HOSTS
			+ (DesignSize.RACKS + DesignSize.TEAMS) / DesignSize.OWNER_READING_SECONDS;

	private static final double JOBS_EACH = (double) DesignSize.JOBS_A_DAY / DesignSize.ENTRY_HOSTS;

	private static final double STARTS_EACH = (double) DesignSize.STARTS_A_SECOND / DesignSize.ENTRY_HOSTS;

	private static final double CHANGES_A_SECOND = DesignSize.CHANGES_A_DAY / DesignSize.SECONDS_A_DAY;

	/** Assumed callers' connections and requests in flight at one gateway. */
	private static final int CONNECTIONS = 1_000;

	private static final int REQUESTS_IN_FLIGHT = 500;

	private static final double MAXIMUM_TEXT_MIB = 16;

	private final SlopeTable slopes;

	private final CellTable cells;

	DesignedCosts(SlopeTable slopes, CellTable cells) {
		this.slopes = slopes;
		this.cells = cells;
	}

	void printTo(CapacityReport report) {
		memory(report);
		processor(report);
		bytes(report);
		platform(report);
	}

	private void memory(CapacityReport report) {
		report.section("memory at the size designed for, MiB");
		double hosts = this.slopes.heapByHosts().perUnit() * HOSTS / MIB;
		double text = this.slopes.heapByDeclared().perUnit() * DesignSize.JOBS_A_DAY / MIB;
		double ownWorkers = (this.slopes.heapByWorkers().perUnit() - this.slopes.heapByHosts().perUnit()) * WORKERS_EACH
				/ MIB;
		double tasks = this.slopes.heapByRunningJobs().perUnit() / TASKS_A_JOB * DesignSize.RUNNING_TASKS
				/ DesignSize.ENTRY_HOSTS / MIB;
		double traffic = (this.slopes.heapByConnections().perUnit() * CONNECTIONS
				+ this.slopes.heapByRequests().perUnit() * REQUESTS_IN_FLIGHT) / MIB;
		double scheduler = this.cells.schedulerResidentMiB() + hosts + text + ownWorkers + tasks;
		double gateway = this.cells.gatewayResidentMiB() + hosts + text + traffic;
		report.atSize("scheduler: resident, in a cell of 128 workers", this.cells.schedulerResidentMiB(),
				DesignSize.MEMORY_MIB);
		report.atSize("scheduler: host list", hosts, DesignSize.MEMORY_MIB);
		report.atSize("scheduler: text with a day's jobs", text, DesignSize.MEMORY_MIB);
		report.atSize("scheduler: own workers", ownWorkers, DesignSize.MEMORY_MIB);
		report.atSize("scheduler: own running tasks", tasks, DesignSize.MEMORY_MIB);
		report.atSize("gateway: resident, in a cell of 128 workers", this.cells.gatewayResidentMiB(),
				DesignSize.MEMORY_MIB);
		report.atSize("gateway: 1000 connections, 500 requests in flight", traffic, DesignSize.MEMORY_MIB);
		report.atSize("entry host: scheduler and gateway", scheduler + gateway, DesignSize.MEMORY_MIB);
	}

	private void processor(CapacityReport report) {
		report.section("processor at the size designed for, share of a core");
		double idle = this.cells.processorByWorkers().base() / this.cells.byWorkers().get(0).schedulers();
		double heartbeats = this.cells.processorByWorkers().perUnit() * WORKERS_EACH;
		double hosts = DesignSize.HOST_LISTS_A_SECOND * this.slopes.hostListNanos().at(HOSTS) / NANOS;
		double owners = this.slopes.ownerNanos().at(SESSIONS_AND_OWNERS) / NANOS;
		double others = TURNS_A_SECOND * TEAMS_EACH * this.slopes.turnByOtherWorkloads().perUnit()
				* DesignSize.JOBS_A_DAY / NANOS;
		double own = TURNS_A_SECOND * this.slopes.turnByOwnJobs().perUnit() * JOBS_EACH / NANOS;
		double placements = STARTS_EACH * this.slopes.placementByRacks().at(DesignSize.RACKS) / NANOS;
		double calls = this.cells.processorByWorkers().perUnit() * STARTS_EACH;
		double changes = CHANGES_A_SECOND * this.slopes.changeNanos().at(DesignSize.JOBS_A_DAY) / NANOS;
		report.atSize("scheduler: idle", idle, DesignSize.PROCESSOR_SHARE);
		report.atSize("scheduler: heartbeats to own workers", heartbeats, DesignSize.PROCESSOR_SHARE);
		report.atSize("scheduler: reading the host list when it has changed", hosts, DesignSize.PROCESSOR_SHARE);
		report.atSize("scheduler: reading sessions, and owners each 30 s", owners, DesignSize.PROCESSOR_SHARE);
		report.atSize("scheduler: queue's turns over other teams' workloads", others, DesignSize.PROCESSOR_SHARE);
		report.atSize("scheduler: queue's turns over own jobs", own, DesignSize.PROCESSOR_SHARE);
		report.atSize("scheduler: placements at the peak", placements, DesignSize.PROCESSOR_SHARE);
		report.atSize("scheduler: calls to workers for starts at the peak", calls, DesignSize.PROCESSOR_SHARE);
		report.atSize("scheduler: changes of the text", changes, DesignSize.PROCESSOR_SHARE);
		double gateway = this.cells.gatewayProcessorShare() + hosts + changes;
		report.atSize("gateway: idle, host list, changes", gateway, DesignSize.PROCESSOR_SHARE);
		report.atSize("entry host: processor between peaks",
				idle + heartbeats + hosts + owners + others + own + changes + gateway, DesignSize.PROCESSOR_SHARE);
	}

	private void bytes(CapacityReport report) {
		report.section("bytes a second at the size designed for, in and out");
		double heartbeat = this.cells.bytesByWorkers().perUnit();
		double hosts = 2 * DesignSize.HOST_LISTS_A_SECOND * this.slopes.hostListBytes().at(HOSTS);
		double owners = this.slopes.ownerBytes().at(SESSIONS_AND_OWNERS);
		double fixed = this.slopes.announcementByRacks().base();
		double racks = 2 * (DesignSize.PROCESSES - 1) * this.slopes.announcementByRacks().perUnit() * RACKS_EACH;
		double finished = 2 * (DesignSize.PROCESSES - 1) * this.slopes.announcementByFinished().perUnit() * JOBS_EACH
				* DesignSize.AWAITED_SHARE;
		double greeting = 4 * (DesignSize.PROCESSES - 1) * fixed;
		double starts = STARTS_EACH
				* (this.slopes.commandByStarts().perUnit() + 2 * this.slopes.peerBytesByStarts().perUnit());
		double changes = 2 * CHANGES_A_SECOND * this.slopes.changeBytes().at(DesignSize.JOBS_A_DAY);
		report.atSize("worker: heartbeats", heartbeat, DesignSize.BYTES_A_SECOND);
		report.atSize("entry host: heartbeats to own workers", heartbeat * WORKERS_EACH, DesignSize.BYTES_A_SECOND);
		report.atSize("entry host: reading the host list when it has changed", hosts, DesignSize.BYTES_A_SECOND);
		report.atSize("entry host: reading sessions, and owners each 30 s", owners, DesignSize.BYTES_A_SECOND);
		report.atSize("entry host: announcements, their fixed part", greeting, DesignSize.BYTES_A_SECOND);
		report.atSize("entry host: announcements of racks", racks, DesignSize.BYTES_A_SECOND);
		report.atSize("entry host: announcements of finished workloads that are awaited", finished,
				DesignSize.BYTES_A_SECOND);
		report.atSize("entry host: task starts at the peak", starts, DesignSize.BYTES_A_SECOND);
		report.atSize("entry host: changes of the text", changes, DesignSize.BYTES_A_SECOND);
		report.atSize("entry host: bytes between peaks",
				heartbeat * WORKERS_EACH + hosts + owners + greeting + racks + finished + changes,
				DesignSize.BYTES_A_SECOND);
	}

	private void platform(CapacityReport report) {
		report.section("platform at the size designed for");
		double writes = this.cells.writesBySchedulers().perUnit() * DesignSize.ENTRY_HOSTS;
		double reads = this.cells.readsBySchedulers().perUnit() * DesignSize.ENTRY_HOSTS + DesignSize.ENTRY_HOSTS;
		double rowsRead = DesignSize.ENTRY_HOSTS * SESSIONS_AND_OWNERS + reads;
		double rows = this.slopes.journalRows().perUnit() * DesignSize.STARTS_A_SECOND;
		PlatformSlopes.Applied applied = PlatformSlopes.applied(100);
		report.atSize("table: sessions' renewals, transactions a second", writes, DesignSize.TABLE_WRITES_A_SECOND);
		report.atSize("table: renewals and journal, transactions a second at most",
				writes + DesignSize.JOURNAL_ROWS_A_SECOND, DesignSize.TABLE_WRITES_A_SECOND);
		report.atSize("table: journal rows a second asked for at the peak if all run once", rows,
				DesignSize.JOURNAL_ROWS_A_SECOND);
		report.atSize("table: changes, transactions a second", CHANGES_A_SECOND * applied.transactions(),
				DesignSize.TABLE_WRITES_A_SECOND);
		report.atSize("table: reads and scans a second", reads, DesignSize.TABLE_READS_A_SECOND);
		report.atSize("table: rows read a second", rowsRead, DesignSize.TABLE_READS_A_SECOND);
		report.atSize("host list: readings a second", DesignSize.PROCESSES, DesignSize.TABLE_READS_A_SECOND);
		report.atSize("store: readings of the text a second", CHANGES_A_SECOND * DesignSize.PROCESSES,
				DesignSize.TABLE_READS_A_SECOND);
		report.atSize("text with a day's jobs, MiB", this.slopes.changeBytes().at(DesignSize.JOBS_A_DAY) / MIB,
				MAXIMUM_TEXT_MIB);
		report.line("keyed requests a second that the table takes beside the sessions: "
				+ (long) ((DesignSize.TABLE_WRITES_A_SECOND - writes) / this.slopes.keyedTransactions().perUnit()));
		report
			.line("one accepted edit: transactions=" + applied.transactions() + " rows_written=" + applied.rowsWritten()
					+ " reads=" + applied.reads() + " object_calls=" + applied.objectCalls() + " bytes_read="
					+ applied.bytesRead() + " bytes_written=" + applied.bytesWritten() + " (100 workloads declared)");
	}

}
