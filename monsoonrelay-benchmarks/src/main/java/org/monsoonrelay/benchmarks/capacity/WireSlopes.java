package org.monsoonrelay.benchmarks.capacity;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

import org.monsoonrelay.adapters.peer.PeerCodec;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Announcement;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StartReply;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StartRequest;
import org.monsoonrelay.adapters.platform.HttpWorkerAgents.AttemptMessage;
import org.monsoonrelay.adapters.platform.HttpWorkerAgents.CommandMessage;
import org.monsoonrelay.adapters.platform.HttpWorkerAgents.ReportMessage;
import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.placement.AttemptEventKind;
import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.rack.AttemptPhase;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.job.JobId;
import org.monsoonrelay.model.worker.WorkerId;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Sizes of the messages between the processes and to the workers, in bytes, without the
 * headers of HTTP and TCP. Stateless.
 */
final class WireSlopes {

	private static final int[] RACKS = { 10, 20, 40 };

	private static final int[] NAMES = { 100, 200, 400 };

	private static final int[] TASKS = { 4, 8, 16 };

	private static final long EPOCH = 1_000;

	private static final String SESSION = UUID.randomUUID().toString();

	private static final String INCARNATION = UUID.randomUUID().toString();

	private static final int REPEATS = 2_000;

	private static final int WARM_UPS = 3_000;

	private WireSlopes() {
	}

	/**
	 * An announcement by the racks that the sender owns.
	 * @return the slope
	 */
	static Slope announcementByRacks() {
		return Meter.over(RACKS, (count) -> {
			Announcement.Builder announcement = announcement();
			for (int rack = 0; rack < count; rack++) {
				announcement.addRacks(PeerCodec.encode(summary(rack)));
			}
			return size(announcement);
		});
	}

	/**
	 * An announcement by the teams whose queues the sender owns.
	 * @return the slope
	 */
	static Slope announcementByTeams() {
		return Meter.over(RACKS, (count) -> {
			Announcement.Builder announcement = announcement();
			for (int team = 0; team < count; team++) {
				announcement.addTeams(SampleCell.team(team));
			}
			return size(announcement);
		});
	}

	/**
	 * An announcement by the names of workloads that have finished or are up.
	 * @return the slope
	 */
	static Slope announcementByFinished() {
		return Meter.over(NAMES, (count) -> {
			Announcement.Builder announcement = announcement();
			for (int job = 0; job < count; job++) {
				announcement.addSatisfied(attempt(job).job().name());
			}
			return size(announcement);
		});
	}

	private static Announcement.Builder announcement() {
		return Announcement.newBuilder()
			.setSession(SESSION)
			.setRole("scheduler")
			.setAddress("10.200.100.100:8182")
			.setFailureDomain("domain-3")
			.setVersion(EPOCH);
	}

	private static int size(Announcement.Builder announcement) {
		return size(Envelope.newBuilder().setAnnouncement(announcement));
	}

	private static int size(Envelope.Builder envelope) {
		int bytes = envelope.setCorrelationId(EPOCH).setRemainingMillis(2000).build().toByteArray().length;
		return bytes + com.google.protobuf.CodedOutputStream.computeUInt32SizeNoTag(bytes);
	}

	private static RackSummary summary(int rack) {
		return new RackSummary(SampleCell.rack(rack), "domain-3", EPOCH, SampleCell.WORKERS_A_RACK,
				new Resources(512, 1_048_576, 16), new Resources(300, 600_000, 8), 60, true);
	}

	/**
	 * Body of a worker's report by the tasks that run there.
	 * @return the slope
	 */
	static Slope reportByTasks() {
		return Meter.over(TASKS, (count) -> bytes(report(count)));
	}

	/**
	 * Body of a command by the tasks that it starts.
	 * @return the slope
	 */
	static Slope commandByStarts() {
		return Meter.over(TASKS, (count) -> bytes(command(count)));
	}

	/**
	 * Processor time of writing a heartbeat and reading its report, by the tasks that run
	 * there, in nanoseconds.
	 * @return the slope
	 */
	static Slope codecNanosByTasks() {
		String warm = Json.write(report(TASKS[0]));
		for (int round = 0; round < WARM_UPS; round++) {
			Json.write(command(0));
			Json.read(warm, ReportMessage.class);
		}
		return Meter.over(TASKS, (count) -> {
			String report = Json.write(report(count));
			return Meter.least(5, (round) -> Meter.processorNanos(() -> {
				for (int repeat = 0; repeat < REPEATS; repeat++) {
					Json.write(command(0));
					Json.read(report, ReportMessage.class);
				}
			})) / REPEATS;
		});
	}

	/**
	 * Messages between a queue's owner and a rack's owner for tasks that are placed
	 * there, from the reservation to the acknowledged end, all in one batch.
	 * @return the slope
	 */
	static Slope peerBytesByStarts() {
		return Meter.over(TASKS, (count) -> {
			List<AttemptId> attempts = new ArrayList<>();
			for (int task = 0; task < count; task++) {
				attempts.add(attempt(task));
			}
			ReservationRequest request = new ReservationRequest(SampleCell.rack(1), SampleCell.team(1),
					WorkloadKind.BATCH, SampleCell.TASK_SIZE, 60_000, attempts, false, Instant.EPOCH.plusSeconds(5));
			int bytes = size(Envelope.newBuilder().setReserveRequest(PeerCodec.encode(request, Instant.EPOCH)));
			bytes += size(Envelope.newBuilder()
				.setReserveReply(PeerCodec.encodeReservations(attempts.stream()
					.map((attempt) -> new Reservation(attempt, new WorkerId("worker-10000"), INCARNATION))
					.toList())));
			bytes += size(Envelope.newBuilder()
				.setStartRequest(StartRequest.newBuilder()
					.addAllStarts(attempts.stream().map((attempt) -> PeerCodec.encode(start(attempt))).toList())));
			bytes += size(Envelope.newBuilder().setStartReply(StartReply.getDefaultInstance()));
			for (AttemptEventKind kind : List.of(AttemptEventKind.RUNNING, AttemptEventKind.FINISHED)) {
				List<AttemptEvent> events = attempts.stream()
					.map((attempt) -> new AttemptEvent(attempt, kind, new WorkerId("worker-10000")))
					.toList();
				bytes += 2 * size(
						Envelope.newBuilder().setAttemptEvents(PeerCodec.encodeEvents(SampleCell.team(1), events)));
			}
			return bytes;
		});
	}

	private static StartTask start(AttemptId attempt) {
		return new StartTask(attempt, SampleCell.team(1), SampleCell.TASK_SIZE, 60_000);
	}

	private static AttemptId attempt(int task) {
		return new AttemptId(new JobId("settlement-" + (10_000 + task), "2026-12-02"), task, 1L << 32);
	}

	private static ReportMessage report(int tasks) {
		return new ReportMessage(INCARNATION, EPOCH, true, messages(tasks, AttemptPhase.RUNNING));
	}

	private static CommandMessage command(int starts) {
		return new CommandMessage(EPOCH, 4000, INCARNATION, messages(starts, null), List.of(), List.of());
	}

	private static List<AttemptMessage> messages(int count, AttemptPhase phase) {
		List<AttemptMessage> messages = new ArrayList<>();
		for (int task = 0; task < count; task++) {
			messages.add(new AttemptMessage(attempt(task).toString(), SampleCell.team(1), SampleCell.TASK_SIZE, 60_000,
					phase));
		}
		return messages;
	}

	private static int bytes(Object message) {
		return Json.write(message).getBytes(StandardCharsets.UTF_8).length;
	}

}
