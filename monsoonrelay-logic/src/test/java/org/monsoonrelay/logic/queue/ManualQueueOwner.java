package org.monsoonrelay.logic.queue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.apache.commons.rng.simple.RandomSource;
import org.monsoonrelay.logic.control.ActiveControlState;
import org.monsoonrelay.logic.fakes.FakeTable;
import org.monsoonrelay.logic.fakes.ManualExecutor;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.Job;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.job.JobRecord;
import org.monsoonrelay.model.worker.Worker;
import org.monsoonrelay.model.workload.CellText;
import org.monsoonrelay.model.workload.PolicyWeights;
import org.monsoonrelay.model.workload.Team;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Queue owner whose control thread and clock are advanced by the test.
 */
final class ManualQueueOwner {

	static final Instant START = Instant.parse("2026-12-02T00:00:00Z");

	final Map<String, TeamQueue> queues = new TreeMap<>();

	final RackDirectory directory;

	Instant now = START;

	final FakeTable table = new FakeTable();

	private final FakeRackOwners racks;

	private final ManualExecutor control = new ManualExecutor();

	private final List<Team> teams = new ArrayList<>();

	private final JobRecordStore journal;

	private final TeamScheduler scheduler;

	ManualQueueOwner(FakeRackOwners racks, long seed) {
		this.racks = racks;
		this.directory = new RackDirectory(RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
		this.journal = new JobRecordStore(this.table, this.control, () -> "write", (id) -> {
			throw new IllegalStateException("unexpected write conflict on job " + id);
		});
		Placer placer = new Placer(racks, this.directory, this.journal, this.control, () -> this.now, (worker) -> true);
		this.scheduler = new TeamScheduler(placer, this.directory, this.journal, () -> this.now);
	}

	void addTeam(String name, int processors, int weight) {
		this.teams.add(new Team(name, new Resources(processors, processors, processors), weight));
		TeamQueue queue = new TeamQueue(1);
		queue.activate();
		this.queues.put(name, queue);
	}

	Job addJob(String team, String name, WorkloadKind kind, int tasks, int processors, boolean once, boolean urgent) {
		Workload workload = new Workload(new JobId(name, "1"), kind, team, tasks, new Resources(processors, 1, 0), 0,
				once, urgent, List.of(), List.of());
		Job job = new Job(workload, JobRecord.NONE, 1, this.now);
		this.queues.get(team).jobs().put(job.id(), job);
		return job;
	}

	void readSummaries() {
		this.directory.update("session", this.racks.summaries());
	}

	void runRound() {
		CellText text = new CellText("cell", PolicyWeights.EQUAL, this.teams, List.of(), List.of(), List.of());
		this.scheduler.runRound(this.queues, new ActiveControlState(ControlHead.NONE, ControlState.NONE, text),
				Set.of());
		this.journal.flush();
	}

	void deliverAll() {
		drain();
		while (this.racks.deliverRequests()) {
			drain();
		}
	}

	void drain() {
		this.control.drain();
		this.journal.flush();
		this.control.drain();
	}

	WaitReason waitReason(Job job) {
		return this.scheduler.waitReason(job);
	}

	/**
	 * Apply the reports of the workers: which attempts run, and that stopped attempts
	 * have ended.
	 */
	void applyWorkerReports() {
		for (TeamQueue queue : this.queues.values()) {
			for (Job job : queue.jobs().values()) {
				for (AttemptId attempt : job.openAttempts()) {
					Worker worker = this.racks.running.get(attempt);
					if (worker != null && this.racks.stopped.contains(attempt)) {
						this.racks.endAttempt(attempt);
						job.markNotRunning(attempt);
					}
					else if (worker != null) {
						job.markRunning(attempt, worker.id());
					}
				}
			}
		}
	}

}
