package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.monsoonrelay.logic.events.Decision;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.OnThread;
import org.monsoonrelay.logic.platform.TableFollower;
import org.monsoonrelay.logic.platform.TablePage;
import org.monsoonrelay.logic.platform.TableRow;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.model.submission.JobProgress;
import org.monsoonrelay.model.submission.QueueConfiguration;
import org.monsoonrelay.model.submission.Submission;

/**
 * One term of owning the pool: loads the jobs, learns from the workers what runs, then
 * places, until it gives the pool up or another process has taken it. Invariants: nothing
 * starts on a worker before its first look under this term's fence; a task that an
 * earlier owner may have started is not started again before every worker that owner used
 * has been heard of or its leases have lapsed. Not thread-safe: confined to the control
 * thread.
 */
public final class PoolOwner {

	private static final System.Logger LOGGER = System.getLogger(PoolOwner.class.getName());

	/** Longest time between two turns, milliseconds. */
	private static final long TURN_MILLIS = 50;

	/** Time in which changes from the feed of jobs gather, milliseconds. */
	private static final long FEED_SPACING_MILLIS = 15;

	private static final int PAGE_ROWS = 500;

	private static final long RETRY_MILLIS = 100;

	/** Least time between two invitations, milliseconds. */
	private static final long INVITE_MILLIS = 250;

	private final PoolPorts ports;

	private final long epoch;

	private final long takenNanos;

	private final OwnerTerm term;

	private final JobRegistry registry;

	private final WorkerPool pool = new WorkerPool();

	private final PoolJournal journal;

	private final EligibilityTracker eligibility;

	private final RunController runs;

	private final TaskPlacer placer;

	private final TableFollower jobs;

	private final Map<String, JobProgress> restored = new HashMap<>();

	private final Consumer<String> over;

	private final LongConsumer invite;

	private long invitedNanos;

	private ScheduledFuture<?> timer;

	private boolean settled;

	private boolean configured;

	private boolean closed;

	private boolean turnQueued;

	/**
	 * Begin a term.
	 * @param ports what is needed from outside
	 * @param taken the row that made this process the owner
	 * @param version the row's version
	 * @param sentNanos when that row was sent, on the steady clock
	 * @param sentMillis when it was sent, by the time of day
	 * @param inherited workers that the earlier owner's row named
	 * @param invite asks the other hosts to take the pool over, with the epoch of this
	 * term, because the table does not take this host's writes
	 * @param over told once when the term is over, with the reason
	 */
	public PoolOwner(PoolPorts ports, OwnerRecord taken, long version, long sentNanos, long sentMillis,
			List<String> inherited, LongConsumer invite, Consumer<String> over) {
		this.ports = ports;
		this.epoch = taken.epoch();
		this.over = over;
		this.invite = invite;
		this.invitedNanos = ports.clock().nanos();
		this.takenNanos = ports.clock().nanos();
		this.term = new OwnerTerm(this.epoch, ports.clock());
		this.term.renewed(sentNanos, sentMillis);
		this.registry = new JobRegistry(this.epoch);
		this.pool.inherit(inherited);
		this.journal = new PoolJournal(ports.table(), ports.control(), this.term, this.registry, this.pool,
				ports.clock(), new JournalListener());
		this.journal.begin(taken, version);
		this.eligibility = new EligibilityTracker(ports.eligibility(), ports.control(), ports.clock(), ports.log(),
				this::turnSoon);
		this.runs = new RunController(ports.orders(), this.term, this.pool, this.registry, this.eligibility,
				ports.control(), ports.clock(), ports.log(), new PoolRunListener());
		this.placer = new TaskPlacer(this.registry, this.pool, this.runs, this.eligibility, this.term, ports.clock(),
				new LeastSlackOrder(), new GangSparingBestFit());
		this.jobs = new TableFollower(ports.table(), JobTables.JOBS, JobTables.partitions(),
				Duration.ofMillis(FEED_SPACING_MILLIS), ports.control(), new JobsListener());
	}

	/**
	 * Load the jobs and begin.
	 */
	public void start() {
		this.timer = this.ports.control()
			.scheduleWithFixedDelay(this::turn, TURN_MILLIS, TURN_MILLIS, TimeUnit.MILLISECONDS);
		loadProgress("");
	}

	private void loadProgress(String from) {
		if (this.closed) {
			return;
		}
		this.ports.table()
			.read(JobTables.PROGRESS, JobTables.POOL_PARTITION, from, PAGE_ROWS)
			.whenComplete(OnThread.of(this.ports.control(), (page, failure) -> {
				if (failure != null) {
					this.ports.control().schedule(() -> loadProgress(from), RETRY_MILLIS, TimeUnit.MILLISECONDS);
					return;
				}
				restore(page);
			}));
	}

	private void restore(TablePage page) {
		for (TableRow row : page.rows()) {
			if (!row.key().equals(JobTables.SUMMARY_KEY)) {
				read(row, JobProgress.class).ifPresent((progress) -> this.restored.put(row.key(), progress));
			}
		}
		if (page.truncated() && !page.rows().isEmpty()) {
			loadProgress(page.rows().get(page.rows().size() - 1).key() + "!");
			return;
		}
		this.jobs.start();
	}

	private static <T> Optional<T> read(TableRow row, Class<T> type) {
		try {
			return Optional.of(Json.readLeniently(row.value(), type));
		}
		catch (JsonProcessingException ex) {
			LOGGER.log(System.Logger.Level.ERROR, "row {0} of {1} is not readable and left out: {2}", row.key(),
					row.table(), ex.getOriginalMessage());
			return Optional.empty();
		}
	}

	/**
	 * Take in the configuration in force.
	 * @param configuration the configuration
	 */
	public void configure(QueueConfiguration configuration) {
		this.configured = true;
		this.placer.configure(configuration);
	}

	/**
	 * Take in the list of workers.
	 * @param listed all workers that the list names
	 */
	public void workers(Collection<WorkerInfo> listed) {
		List<PoolWorker> added = this.pool.update(listed);
		if (this.settled) {
			added.forEach(this.runs::watch);
		}
		turnSoon();
	}

	/**
	 * Name the hosts of this system that can ask for eligibility.
	 * @param available the hosts, those for short calls first
	 */
	public void hosts(List<String> available) {
		this.eligibility.hosts(available);
		turnSoon();
	}

	/**
	 * Use a host again that has started anew.
	 * @param host the host
	 */
	public void hostRestarted(String host) {
		this.eligibility.hostRestarted(host);
		turnSoon();
	}

	/**
	 * Give the pool up, so that another process need not wait for a lapse.
	 */
	public void release() {
		this.runs.close();
		this.jobs.close();
		this.journal.release();
	}

	/**
	 * End the term at once.
	 */
	public void close() {
		this.closed = true;
		this.runs.close();
		this.jobs.close();
		this.journal.close();
		if (this.timer != null) {
			this.timer.cancel(false);
		}
	}

	private void turnSoon() {
		if (!this.turnQueued && !this.closed) {
			this.turnQueued = true;
			this.ports.control().execute(this::turn);
		}
	}

	private void turn() {
		this.turnQueued = false;
		if (this.closed) {
			return;
		}
		if (this.settled) {
			this.runs.expire();
			account();
			this.eligibility.forget((step) -> this.registry.job(step.job()).filter((job) -> !job.isEnded()).isEmpty());
			if (this.configured) {
				this.placer.place();
				this.eligibility.dispatch();
			}
		}
		this.journal.flush();
	}

	private void account() {
		long since = TimeUnit.NANOSECONDS.toMillis(this.ports.clock().nanos() - this.takenNanos);
		if (since > OwnerTerm.LONGEST_ORDER_MILLIS / WorkerLease.SLOWEST_RATE) {
			this.pool.forgetInherited();
		}
		if (this.pool.isAccounted()) {
			this.placer.accounted();
		}
	}

	private void lost(String reason) {
		if (this.closed) {
			return;
		}
		close();
		this.ports.log().write(new Decision.OwnershipLost(this.epoch, reason));
		this.over.accept(reason);
	}

	private void take(TableRow row, boolean isInherited) {
		if (row.deleted()) {
			return;
		}
		if (JobTables.isCancelKey(row.key())) {
			this.registry.cancel(JobTables.job(row.key())).ifPresent(this.runs::ended);
			return;
		}
		JobProgress progress = this.restored.get(row.key());
		if (progress != null && progress.state().isFinal()) {
			this.restored.remove(row.key());
			this.registry.learnEnded(row.key());
			return;
		}
		if (!this.registry.isKnown(row.key())) {
			read(row, Submission.class).ifPresent((submission) -> learn(submission, isInherited));
		}
	}

	private void learn(Submission submission, boolean isInherited) {
		Optional<JobProgress> progress = Optional.ofNullable(this.restored.remove(submission.id()));
		if (!this.registry.learn(submission, progress, isInherited)) {
			return;
		}
		if (!this.term.isCurrent()) {
			this.registry.hold(submission.id());
		}
		this.runs.learnt(submission.id());
		long age = this.ports.clock().millis() - submission.acceptedMillis();
		this.ports.log()
			.write(new Decision.JobLearnt(submission.id(), submission.policy().queue(), age,
					submission.steps().size()));
	}

	private final class JobsListener implements TableFollower.Listener {

		@Override
		public void snapshot(List<TableRow> rows) {
			PoolOwner owner = PoolOwner.this;
			boolean isFirst = !owner.settled;
			rows.forEach((row) -> take(row, isFirst));
			if (isFirst) {
				owner.settled = true;
				owner.journal.count();
				long took = TimeUnit.NANOSECONDS.toMillis(owner.ports.clock().nanos() - owner.takenNanos);
				owner.ports.log()
					.write(new Decision.OwnershipSettled(owner.epoch, owner.registry.unendedCount(), took));
				List.copyOf(owner.pool.all()).forEach(owner.runs::watch);
			}
			turnSoon();
		}

		@Override
		public void changed(List<TableRow> rows) {
			rows.forEach((row) -> take(row, false));
			turnSoon();
		}

	}

	private final class JournalListener implements PoolJournal.Listener {

		@Override
		public void durable() {
			if (PoolOwner.this.term.isCurrent()) {
				PoolOwner.this.registry.releaseHeld();
			}
			PoolOwner.this.runs.durable();
			turnSoon();
		}

		@Override
		public void turnedAway() {
			PoolOwner owner = PoolOwner.this;
			owner.term.doubt();
			long now = owner.ports.clock().nanos();
			if (now - owner.invitedNanos > TimeUnit.MILLISECONDS.toNanos(INVITE_MILLIS)) {
				owner.invitedNanos = now;
				owner.invite.accept(owner.epoch);
			}
		}

		@Override
		public void released() {
			lost("given up");
		}

		@Override
		public void ownershipLost(String reason) {
			lost(reason);
		}

	}

	private final class PoolRunListener implements RunListener {

		@Override
		public void changed() {
			turnSoon();
		}

		@Override
		public void fenced(String worker) {
			lost("worker " + worker + " obeys a later owner");
		}

	}

}
