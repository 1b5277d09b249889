package org.monsoonrelay.benchmarks.capacity;

import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.UUID;

import org.monsoonrelay.adapters.platform.TableMessages;
import org.monsoonrelay.logic.control.ControlLog;
import org.monsoonrelay.logic.control.ControlTracker;
import org.monsoonrelay.logic.control.Edit;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.EditKind;
import org.monsoonrelay.model.membership.Ownership;

/**
 * What the platform's table, store and host list are asked for. Stateless.
 */
final class PlatformSlopes {

	private static final int[] HOSTS = { 500, 1_000, 2_000 };

	private static final int[] ROWS = { 250, 500, 1_000 };

	private static final int[] WORKLOADS = { 200, 400, 800 };

	private static final int[] TASKS = { 400, 800, 1_600 };

	private static final int TASKS_A_JOB = 4;

	private static final int ROUNDS = 20;

	private static final int MAXIMUM_TICKS = 1_000;

	private PlatformSlopes() {
	}

	/**
	 * Bytes of a reading of the host list, by hosts.
	 * @return the slope
	 */
	static Slope hostListBytes() {
		return Meter.over(HOSTS, (count) -> bytes(SampleCell.workers(count)));
	}

	/**
	 * Processor time of reading the host list, by hosts, in nanoseconds.
	 * @return the slope
	 */
	static Slope hostListNanos() {
		return Meter.over(HOSTS, (count) -> {
			String list = Json.write(SampleCell.workers(count));
			return leastNanos(() -> Json.read(list, HostList.class));
		});
	}

	/**
	 * Bytes of a reading of all owners, by rows.
	 * @return the slope
	 */
	static Slope ownerBytes() {
		return Meter.over(ROWS, (count) -> bytes(owners(count)));
	}

	/**
	 * Processor time of reading all owners, by rows, in nanoseconds.
	 * @return the slope
	 */
	static Slope ownerNanos() {
		return Meter.over(ROWS, (count) -> {
			String rows = Json.write(owners(count));
			return leastNanos(() -> Json.read(rows, TableMessages.Rows.class)
				.rows()
				.forEach((row) -> Json.read(row.value(), Ownership.class)));
		});
	}

	private static TableMessages.Rows owners(int count) {
		List<Row> rows = new ArrayList<>();
		for (int rack = 0; rack < count; rack++) {
			rows.add(new Row(TableKeys.RACKS + SampleCell.rack(rack),
					Json.write(new Ownership(new UUID(rack, rack).toString(), 1_000)), 1_000_000 + rack));
		}
		return new TableMessages.Rows(rows);
	}

	/**
	 * Bytes that each process fetches for one change, by declared workloads.
	 * @return the slope
	 */
	static Slope changeBytes() {
		return Meter.over(WORKLOADS, (count) -> applied(count).bytesReadByFollower);
	}

	/**
	 * Processor time of one change in each process, by declared workloads, in
	 * nanoseconds.
	 * @return the slope
	 */
	static Slope changeNanos() {
		return Meter.over(WORKLOADS, (count) -> {
			Applied applied = applied(count);
			ControlLog log = applied.log;
			ControlHead head = log.head().join();
			return leastNanos(() -> new ControlTracker().offer(head, log.state(head).join()));
		});
	}

	/**
	 * What one accepted edit asks of the platform.
	 * @param workloads number of declared workloads
	 * @return the counts
	 */
	static Applied applied(int workloads) {
		CountingPlatform platform = new CountingPlatform();
		ControlLog log = new ControlLog(platform, platform, InstantSource.system());
		submit(log, workloads, 0);
		long commits = platform.table().commits();
		long rows = platform.table().rowsWritten();
		long reads = platform.table().reads();
		long objectCalls = platform.objectCalls();
		long read = platform.bytesRead();
		long written = platform.bytesWritten();
		submit(log, workloads, 1);
		Applied second = new Applied(log, platform.table().commits() - commits, platform.table().rowsWritten() - rows,
				platform.table().reads() - reads, platform.objectCalls() - objectCalls, platform.bytesRead() - read,
				platform.bytesWritten() - written, 0);
		long before = platform.bytesRead();
		log.state(log.head().join()).join();
		return second.followedBy(platform.bytesRead() - before);
	}

	private static void submit(ControlLog log, int workloads, long expected) {
		String text = SampleCell.text(SampleCell.team(0), workloads, TASKS_A_JOB, true, 60_000);
		log.submit(new Edit(UUID.randomUUID().toString(), EditKind.APPLY, "operator", text, List.of(),
				OptionalLong.of(expected)))
			.join();
	}

	/**
	 * Rows written by tasks that must run once, from waiting to finished, for jobs of
	 * four tasks.
	 * @return the slope
	 */
	static Slope journalRows() {
		return Meter.over(TASKS, (tasks) -> ranOnce(tasks / TASKS_A_JOB, TASKS_A_JOB).platform().table().rowsWritten());
	}

	/**
	 * Transactions by tasks that must run once, from waiting to finished, for jobs of
	 * four tasks, when all come at once.
	 * @return the slope
	 */
	static Slope journalTransactions() {
		return Meter.over(TASKS, (tasks) -> ranOnce(tasks / TASKS_A_JOB, TASKS_A_JOB).platform().table().commits());
	}

	/**
	 * Bytes written by the tasks of one job that must run once.
	 * @return the slope
	 */
	static Slope journalBytesOfOneJob() {
		return Meter.over(TASKS, (tasks) -> ranOnce(1, tasks).platform().bytesWritten());
	}

	private static SampleScheduler ranOnce(int jobs, int tasks) {
		SampleScheduler scheduler = new SampleScheduler(1_000,
				SampleCell.inForce(SampleCell.text(SampleCell.team(0), jobs, tasks, true, 60_000)));
		int ticks = 0;
		while (scheduler.queues().satisfiedDependencies().size() < jobs) {
			if (ticks++ > MAXIMUM_TICKS) {
				throw new IllegalStateException("jobs do not finish: " + scheduler.queues().jobStatuses().get(0));
			}
			scheduler.tick();
			scheduler.workers().finishAll();
			scheduler.heartbeat();
		}
		return scheduler;
	}

	private static double leastNanos(Runnable work) {
		for (int round = 0; round < ROUNDS; round++) {
			work.run();
		}
		return Meter.least(ROUNDS, (round) -> Meter.processorNanos(work));
	}

	private static int bytes(Object value) {
		return Json.write(value).getBytes(StandardCharsets.UTF_8).length;
	}

	/**
	 * What one accepted edit asks of the platform.
	 *
	 * @param log the log that took it
	 * @param transactions transactions
	 * @param rowsWritten rows written
	 * @param reads reads of rows
	 * @param objectCalls calls to the object store
	 * @param bytesRead bytes read
	 * @param bytesWritten bytes written
	 * @param bytesReadByFollower bytes that each process reads to put it in force
	 */
	record Applied(ControlLog log, long transactions, long rowsWritten, long reads, long objectCalls, long bytesRead,
			long bytesWritten, long bytesReadByFollower) {

		private Applied followedBy(long bytes) {
			return new Applied(this.log, this.transactions, this.rowsWritten, this.reads, this.objectCalls,
					this.bytesRead, this.bytesWritten, bytes);
		}

	}

}
