package org.monsoonrelay.scheduler.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.platform.ExecutorCallback;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TableFollower;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.pool.HostRecord;
import org.monsoonrelay.logic.pool.StandbySelector;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Registers this host in the table and follows the rows of the other hosts. A host that
 * has stopped stays registered and is detected by failing calls to it. A host whose row
 * is unreadable is excluded until the row can be read. Confined to the control thread.
 */
final class HostRegistry implements TableFollower.Listener {

	private static final Duration POLL_INTERVAL = Duration.ofMillis(300);

	private static final long REGISTER_RETRY_MILLIS = 300;

	private final PartitionedTable table;

	private final ScheduledExecutorService control;

	private HostRecord self;

	private final Listener listener;

	private final UnreadableRows unreadable;

	private Optional<TableFollower> follower = Optional.empty();

	private final Map<String, HostRecord> hosts = new ConcurrentHashMap<>();

	private final Map<String, ProcessStart> startsByHost = new HashMap<>();

	private boolean hasInitialSnapshot;

	HostRegistry(PartitionedTable table, ScheduledExecutorService control, HostRecord self, Listener listener,
			UnreadableRows unreadable) {
		this.unreadable = unreadable;
		this.table = table;
		this.control = control;
		this.self = self;
		this.listener = listener;
	}

	/**
	 * Register this host.
	 */
	void start() {
		this.hosts.put(this.self.host(), this.self);
		this.control.execute(this::register);
	}

	/**
	 * Start following the rows of the other hosts. Replaces an earlier follower.
	 */
	void follow() {
		close();
		this.hasInitialSnapshot = false;
		TableFollower next = new TableFollower(this.table, JobTables.HOSTS, List.of(""), POLL_INTERVAL, this.control,
				this);
		this.follower = Optional.of(next);
		next.start();
	}

	/**
	 * Stop following the rows of the other hosts.
	 */
	void close() {
		this.follower.ifPresent(TableFollower::close);
	}

	private void register() {
		PartitionWrite write = PartitionWrite.to("").put(JobTables.HOSTS, this.self.host(), Json.write(this.self));
		this.table.commit(write).whenComplete(ExecutorCallback.on(this.control, (commit, failure) -> {
			if (!(commit instanceof PartitionCommit.Committed)) {
				this.control.schedule(this::register, REGISTER_RETRY_MILLIS, TimeUnit.MILLISECONDS);
			}
		}));
	}

	/**
	 * The registered hosts, this one first.
	 * @return the names of the hosts
	 */
	List<String> hostNames() {
		List<String> names = new ArrayList<>();
		names.add(this.self.host());
		this.hosts.keySet().stream().filter((name) -> !name.equals(this.self.host())).sorted().forEach(names::add);
		return names;
	}

	/**
	 * The other hosts as standby candidates. A process that was registered before the
	 * initial snapshot counts as ready.
	 * @param nowNanos the current monotonic time, in nanoseconds
	 * @return the candidates
	 */
	List<StandbySelector.Candidate> standbyCandidates(long nowNanos) {
		List<StandbySelector.Candidate> candidates = new ArrayList<>();
		this.hosts.forEach((name, host) -> {
			ProcessStart start = this.startsByHost.get(name);
			if (start != null) {
				boolean isReady = nowNanos - start.readyNanos() >= 0;
				candidates.add(new StandbySelector.Candidate(host, start.version(), isReady));
			}
		});
		return candidates;
	}

	/**
	 * Announce to the other hosts that this process is about to stop.
	 */
	void announceStop() {
		this.self = this.self.asStopping();
		register();
	}

	/**
	 * All hosts, including this one.
	 * @return their addresses for peers
	 */
	List<HostAddress> addresses() {
		return this.hosts.values().stream().map((record) -> HostAddress.parse(record.peerAddress())).toList();
	}

	Optional<HostAddress> address(String host) {
		return Optional.ofNullable(this.hosts.get(host)).map((record) -> HostAddress.parse(record.peerAddress()));
	}

	@Override
	public void snapshot(String partition, List<TableRow> rows) {
		Set<String> registered = rows.stream().map(TableRow::key).collect(Collectors.toSet());
		this.hosts.keySet().removeIf((host) -> !host.equals(this.self.host()) && !registered.contains(host));
		changed(rows);
		this.hasInitialSnapshot = true;
	}

	@Override
	public void changed(List<TableRow> rows) {
		rows.forEach(this::applyRow);
		this.listener.hostsChanged(hostNames());
	}

	private void applyRow(TableRow row) {
		if (row.key().equals(this.self.host())) {
			return;
		}
		if (row.deleted()) {
			this.hosts.remove(row.key());
			return;
		}
		this.unreadable.read(row, HostRecord.class)
			.ifPresentOrElse((record) -> putHost(row, record), () -> this.hosts.remove(row.key()));
	}

	private void putHost(TableRow row, HostRecord record) {
		HostRecord previous = this.hosts.put(row.key(), record);
		boolean isSameIncarnation = previous != null && previous.incarnation().equals(record.incarnation());
		if (!isSameIncarnation || !this.startsByHost.containsKey(row.key())) {
			long readyNanos = System.nanoTime()
					+ (this.hasInitialSnapshot ? TimeUnit.MILLISECONDS.toNanos(StandbySelector.MIN_UPTIME_MILLIS) : 0);
			this.startsByHost.put(row.key(), new ProcessStart(row.version(), readyNanos));
		}
		if (previous != null && !isSameIncarnation) {
			this.listener.hostRestarted(row.key());
		}
	}

	// The row version at which a process registered, and when it counts as ready.
	private record ProcessStart(long version, long readyNanos) {

	}

	/** Receives changes of the registered hosts, on the control thread. */
	interface Listener {

		/**
		 * The list of registered hosts was updated.
		 * @param hosts the names of the registered hosts, this one first
		 */
		void hostsChanged(List<String> hosts);

		/**
		 * The scheduler of a host has restarted.
		 * @param host the name of the host
		 */
		void hostRestarted(String host);

	}

}
