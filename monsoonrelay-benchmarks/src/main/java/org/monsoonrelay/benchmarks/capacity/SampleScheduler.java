package org.monsoonrelay.benchmarks.capacity;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;

import org.apache.commons.rng.simple.RandomSource;
import org.monsoonrelay.logic.control.ActiveControlState;
import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.logic.queue.JobRecordStore;
import org.monsoonrelay.logic.queue.QueueManager;
import org.monsoonrelay.logic.queue.RackDirectory;
import org.monsoonrelay.logic.queue.RackOwners;
import org.monsoonrelay.logic.rack.RackManager;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * The control state of one scheduler that owns all racks and one team's queue, with
 * workers and a platform in memory. Its control thread is the caller's: work handed to it
 * runs when {@link #settle()} is called. Not thread-safe.
 */
final class SampleScheduler {

	private static final long SEED = 20_261_202L;

	private static final long EPOCH = 1;

	private static final String SESSION = "scheduler";

	private static final Duration LEASE = Duration.ofHours(1);

	private final Queue<Runnable> control = new ArrayDeque<>();

	private final Executor executor = this.control::add;

	private final SampleWorkers workers = new SampleWorkers();

	private final CountingPlatform platform = new CountingPlatform();

	private final RackDirectory directory = new RackDirectory(RandomSource.XO_RO_SHI_RO_128_PP.create(SEED));

	private final RackManager racks;

	private final QueueManager queues;

	private long writeIds;

	SampleScheduler(int workerCount, ActiveControlState inForce) {
		InstantSource clock = InstantSource.system();
		this.racks = new RackManager(this.workers, this.executor, clock, System::nanoTime, LEASE);
		this.queues = new QueueManager(new OwnRacks(), this.directory, (onConflict) -> new JobRecordStore(this.platform,
				this.executor, () -> "write-" + ++this.writeIds, onConflict), this.executor, clock);
		for (int rack = 0; rack * SampleCell.WORKERS_A_RACK < workerCount; rack++) {
			this.racks.acquireOwnership(SampleCell.rack(rack), EPOCH);
		}
		this.racks.update(SampleCell.workers(workerCount));
		this.racks.sendHeartbeats();
		settle();
		this.queues.update(inForce);
		this.queues.acquireOwnership(SampleCell.team(0), EPOCH);
		settle();
		this.queues.activate(SampleCell.team(0));
		publish();
	}

	private void publish() {
		this.directory.update(SESSION, this.racks.summaries());
	}

	/**
	 * Run all that waits for the control thread.
	 */
	void settle() {
		Runnable next = this.control.poll();
		while (next != null) {
			next.run();
			next = this.control.poll();
		}
	}

	/**
	 * One turn of the timetable: place, send orders, take in answers and deliver events.
	 */
	void tick() {
		this.queues.tick();
		settle();
		this.racks.sendUrgentCommands();
		settle();
		this.racks.unacknowledgedEvents()
			.forEach((team, events) -> new ArrayList<>(events)
				.forEach((event) -> this.queues.handleEvent(event, team, this.racks::acknowledge)));
		settle();
	}

	/**
	 * Send a heartbeat to every worker and take in the answers.
	 */
	void heartbeat() {
		this.racks.sendHeartbeats();
		settle();
		publish();
	}

	QueueManager queues() {
		return this.queues;
	}

	RackManager racks() {
		return this.racks;
	}

	SampleWorkers workers() {
		return this.workers;
	}

	CountingPlatform platform() {
		return this.platform;
	}

	/**
	 * Calls to the racks' owner, which is this scheduler itself.
	 */
	private final class OwnRacks implements RackOwners {

		@Override
		public CompletableFuture<List<Reservation>> reserve(ReservationRequest request) {
			return CompletableFuture.completedFuture(SampleScheduler.this.racks.reserve(request));
		}

		@Override
		public CompletableFuture<List<AttemptId>> start(String rack, List<StartTask> starts) {
			return CompletableFuture.completedFuture(starts.stream()
				.filter((start) -> !SampleScheduler.this.racks.start(start))
				.map(StartTask::attempt)
				.toList());
		}

		@Override
		public void release(String rack, Collection<AttemptId> attempts) {
			SampleScheduler.this.racks.release(attempts);
		}

		@Override
		public void stop(String rack, AttemptId attempt, WorkerId worker, String team) {
			SampleScheduler.this.racks.stop(attempt, worker, team);
		}

		@Override
		public void resolve(String rack, AttemptId attempt, WorkerId worker, String incarnation, String team) {
			SampleScheduler.this.racks.resolve(attempt, worker, team);
		}

	}

}
