package org.monsoonrelay.logic.pool;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.submission.JobTables;
import org.monsoonrelay.logic.submission.QueueCount;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.submission.EligibilityTimes;
import org.monsoonrelay.model.submission.QueueConfiguration;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.QueueRoute;
import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.TaskKey;
import org.monsoonrelay.model.submission.Timetable;
import org.monsoonrelay.model.submission.WorkerService;

/**
 * A pool owner with one host for eligibility requests, to which a test replies
 * explicitly. Each task takes a whole worker. Not thread-safe.
 */
final class ManualEligibilityPool {

	private static final Resources SIZE = new Resources(4000, 1000, 0);

	private static final String FILLER = "00000000filler00";

	private static final long RUN_MILLIS = 60_000;

	private static final long BRIEF_MILLIS = 120;

	private final VirtualTime time = new VirtualTime();

	private final InMemoryTable table = new InMemoryTable(this.time);

	private final SimulatedWorkers workers = new SimulatedWorkers(this.time, (task) -> RUN_MILLIS).taskSize(SIZE);

	private final Map<String, PendingRequest> pendingRequests = new HashMap<>();

	private PoolOwner owner;

	ManualEligibilityPool(int workerCount) {
		addWorkers(workerCount);
		PoolDependencies ports = new PoolDependencies(this.table.client(), this.workers.client(), this::requestTickets,
				this.time, this.time.clock(), DecisionLog.NONE, new UnreadableRows(DecisionLog.NONE));
		JobTableReplica intake = new JobTableReplica(ports.table(), this.time, ports.unreadable(), ports.clock());
		new OwnerElection(ports, new HostRecord("host", "domain", "a:1", "holder", 1, false), (taken) -> {
			this.owner = new PoolOwner(ports, intake, taken, new NoPeers(), (reason) -> {
			});
			this.owner.configure(new QueueConfiguration(1, List.of(), List.of(new WorkerService("salon", false))));
			this.owner.updateHosts(List.of("only"));
			this.owner.start();
			this.owner.updateWorkers(this.workers.listedWorkers());
		}, () -> this.owner != null).start();
		this.time.runFor(1000);
	}

	private void addWorkers(int count) {
		int known = this.workers.listedWorkers().size();
		for (int i = 0; i < count; i++) {
			this.workers.add("w" + (known + i), SIZE);
		}
	}

	/**
	 * Adds idle workers to the pool.
	 * @param count number of workers
	 * @return ids of the added workers
	 */
	List<String> addIdleWorkers(int count) {
		int known = this.workers.listedWorkers().size();
		addWorkers(count);
		this.owner.updateWorkers(this.workers.listedWorkers());
		runBriefly();
		return this.workers.listedWorkers().stream().skip(known).map(WorkerInfo::id).toList();
	}

	private CompletableFuture<Map<String, String>> requestTickets(String host, StepKey step, List<String> queried,
			Duration timeout) {
		PendingRequest request = new PendingRequest(queried, new CompletableFuture<>());
		this.pendingRequests.put(step.job(), request);
		return request.answer();
	}

	/** Changes the configuration so that steps do not need eligibility any more. */
	void configureWithoutEligibility() {
		QueueRoute route = new QueueRoute("host", "/", 3000, policy(null));
		this.owner.configure(new QueueConfiguration(2, List.of(route), List.of(new WorkerService("salon", false))));
		runBriefly();
	}

	private static QueuePolicy policy(EligibilityTimes times) {
		return new QueuePolicy("queue", "salon", 0, 3, 1, 0, times);
	}

	/** Occupies all workers with a job. */
	void occupyAllWorkers() {
		submit(FILLER, this.workers.listedWorkers().size(), false, null);
		runBriefly();
	}

	/** Cancels the job that occupies all workers. */
	void freeAllWorkers() {
		this.table.client()
			.commit(PartitionWrite.to(JobTables.partition(FILLER))
				.put(JobTables.JOBS, JobTables.cancelKey(FILLER), "{}"));
		runBriefly();
	}

	void submitGang(String id, int tasks, EligibilityTimes times) {
		submit(id, tasks, true, times);
		runBriefly();
	}

	void submitIndependentTasks(String id, int tasks, EligibilityTimes times) {
		submit(id, tasks, false, times);
		runBriefly();
	}

	/**
	 * Submits a job of one task that any worker may run and that has no slack.
	 * @param id the job's id
	 */
	void submitUrgent(String id) {
		submit(id, 1, false, null);
		runBriefly();
	}

	private void submit(String id, int tasks, boolean gang, EligibilityTimes times) {
		StepSpec step = new StepSpec(tasks, SIZE, RUN_MILLIS, List.of(), gang, false, "", "", 0, false, false, false,
				false);
		Submission submission = new Submission(id, policy(times), "text", List.of(step), Timetable.AT_ONCE,
				this.time.millis());
		this.table.client()
			.commit(PartitionWrite.to(JobTables.partition(id)).put(JobTables.JOBS, id, Json.write(submission)));
	}

	/**
	 * The workers queried by the pending request of a job.
	 * @param id the job's id
	 * @return the workers, empty if no request is pending
	 */
	List<String> requestedWorkers(String id) {
		PendingRequest request = this.pendingRequests.get(id);
		return (request != null) ? request.workers() : List.of();
	}

	/**
	 * Replies to the pending request of a job: every third worker of the pool is
	 * eligible.
	 * @param id the job's id
	 * @return the eligible workers
	 */
	List<String> reply(String id) {
		PendingRequest request = this.pendingRequests.remove(id);
		List<String> eligible = request.workers()
			.stream()
			.filter((worker) -> Integer.parseInt(worker.substring(1)) % 3 == 0)
			.toList();
		request.answer()
			.complete(eligible.stream().collect(Collectors.toMap((worker) -> worker, this.workers::ticket)));
		runBriefly();
		return eligible;
	}

	boolean isStarted(String id) {
		return this.workers.startCount(new TaskKey(id, 0, 0, 0)) > 0;
	}

	void runBriefly() {
		this.time.runFor(BRIEF_MILLIS);
	}

	void runFor(long millis) {
		this.time.runFor(millis);
	}

	private record PendingRequest(List<String> workers, CompletableFuture<Map<String, String>> answer) {

	}

	private static final class NoPeers implements PeerNotifier {

		@Override
		public void sendHeartbeat(long epoch, long version) {
		}

		@Override
		public void publishStates(long epoch, Map<String, SubmissionState> states,
				java.util.Optional<QueueCount> pending) {
		}

		@Override
		public void announceRelease(OwnerRecord record, long version) {
		}

		@Override
		public void requestTakeOver(long version) {
		}

	}

}
