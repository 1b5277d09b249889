package org.monsoonrelay.logic.fakes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.apache.commons.rng.simple.RandomSource;
import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.logic.platform.WriteBudget;
import org.monsoonrelay.logic.queue.JobRecordStore;
import org.monsoonrelay.logic.queue.QueueManager;
import org.monsoonrelay.logic.queue.RackDirectory;
import org.monsoonrelay.logic.queue.RackOwners;
import org.monsoonrelay.logic.rack.RackManager;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.logic.rack.WorkerAgents;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * The real rack and queue managers of one scheduler on top of the fakes, advanced by the
 * test. Its queues use its own racks or those of another scheduler. Not thread-safe.
 */
public final class FakeScheduler implements RackOwners {

	private static final Duration LEASE = Duration.ofSeconds(3);

	private final ManualExecutor control = new ManualExecutor();

	private final ManualTime time;

	private final RackDirectory directory = new RackDirectory(RandomSource.XO_RO_SHI_RO_128_PP.create(7));

	private final RackManager racks;

	private final QueueManager queues;

	private final Map<String, Integer> writeIds = new HashMap<>();

	private JobRecordStore jobRecords;

	private FakeScheduler rackOwner = this;

	private boolean stopsLost;

	private boolean reserveAnswersHeld;

	private final List<Runnable> heldAnswers = new ArrayList<>();

	public FakeScheduler(String name, TableService table, WorkerAgents workers, ManualTime time) {
		this.time = time;
		this.racks = new RackManager(workers, this.control, time, time::nanos, LEASE);
		this.queues = new QueueManager(this, this.directory, (onConflict) -> {
			this.jobRecords = new JobRecordStore(table, this.control,
					() -> name + '-' + this.writeIds.merge(name, 1, Integer::sum), onConflict,
					new WriteBudget(time::nanos, 300));
			return this.jobRecords;
		}, this.control, time);
	}

	/**
	 * Make the queues of this scheduler use the racks of another one.
	 * @param other the owner of the racks
	 */
	public void useRacksOf(FakeScheduler other) {
		this.rackOwner = other;
	}

	/**
	 * Update the host list.
	 * @param list the list
	 */
	public void updateHosts(HostList list) {
		this.racks.update(list);
		this.queues.update(list);
	}

	/**
	 * Advance the time by one second and run the scheduled work.
	 */
	public void runSecond() {
		this.time.advance(Duration.ofSeconds(1));
		runScheduledWork();
	}

	/**
	 * Run several seconds.
	 * @param count the number of seconds
	 */
	public void runSeconds(int count) {
		for (int index = 0; index < count; index++) {
			runSecond();
		}
	}

	/**
	 * Run the scheduled work of one second without advancing the time.
	 */
	public void runScheduledWork() {
		this.rackOwner.racks.sendHeartbeats();
		this.rackOwner.control.drain();
		for (int tick = 0; tick < 4; tick++) {
			tick();
		}
	}

	/**
	 * Run one tick: events, placement, writes and commands.
	 */
	public void tick() {
		deliver(this.rackOwner.racks);
		this.directory.update("owner", this.rackOwner.racks.summaries());
		this.queues.tick();
		this.control.drain();
		this.rackOwner.racks.sendUrgentCommands();
		this.rackOwner.control.drain();
		deliver(this.rackOwner.racks);
		this.control.drain();
	}

	private void deliver(RackManager from) {
		from.unacknowledgedEvents().forEach((team, events) -> {
			if (this.queues.teams().contains(team)) {
				List<AttemptEvent> copy = List.copyOf(events);
				copy.forEach((event) -> this.queues.handleEvent(event, team, from::acknowledge));
			}
		});
	}

	@Override
	public CompletableFuture<List<Reservation>> reserve(ReservationRequest request) {
		CompletableFuture<List<Reservation>> answer = new CompletableFuture<>();
		List<Reservation> reserved = this.rackOwner.racks.reserve(request);
		if (this.reserveAnswersHeld) {
			this.heldAnswers.add(() -> answer.complete(reserved));
		}
		else {
			answer.complete(reserved);
		}
		return answer;
	}

	@Override
	public CompletableFuture<List<AttemptId>> start(String rack, List<StartTask> starts) {
		return CompletableFuture.completedFuture(
				starts.stream().filter((start) -> !this.rackOwner.racks.start(start)).map(StartTask::attempt).toList());
	}

	@Override
	public void release(String rack, Collection<AttemptId> attempts) {
		this.rackOwner.racks.release(attempts);
	}

	@Override
	public void stop(String rack, AttemptId attempt, WorkerId worker, String team) {
		if (!this.stopsLost) {
			this.rackOwner.racks.stop(attempt, worker, team);
		}
	}

	@Override
	public void resolve(String rack, AttemptId attempt, WorkerId worker, String incarnation, String team) {
		this.rackOwner.racks.resolve(attempt, worker, team);
	}

	/**
	 * Delay the answers to reservations.
	 * @param isHeld whether to delay them; {@code false} delivers all delayed answers
	 */
	public void setReserveAnswersHeld(boolean isHeld) {
		this.reserveAnswersHeld = isHeld;
		if (!isHeld) {
			this.heldAnswers.forEach(Runnable::run);
			this.heldAnswers.clear();
		}
	}

	public void setStopsLost(boolean areLost) {
		this.stopsLost = areLost;
	}

	public RackManager racks() {
		return this.racks;
	}

	public QueueManager queues() {
		return this.queues;
	}

	public JobRecordStore jobRecords() {
		return this.jobRecords;
	}

	public ManualExecutor control() {
		return this.control;
	}

}
