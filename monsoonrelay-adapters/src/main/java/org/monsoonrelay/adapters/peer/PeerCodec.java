package org.monsoonrelay.adapters.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.monsoonrelay.adapters.peer.generated.PeerMessages;
import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.placement.AttemptEventKind;
import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.WorkerId;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Translates between the values of the logic and their messages. Deadlines travel as the
 * time that remains, because clocks of hosts are not compared. Stateless and thread-safe.
 */
public final class PeerCodec {

	private PeerCodec() {
	}

	public static PeerMessages.Resources encode(Resources value) {
		return PeerMessages.Resources.newBuilder()
			.setProcessors(value.processors())
			.setMemoryMib(value.memoryMiB())
			.setAccelerators(value.accelerators())
			.build();
	}

	public static Resources decode(PeerMessages.Resources message) {
		return new Resources(message.getProcessors(), message.getMemoryMib(), message.getAccelerators());
	}

	public static PeerMessages.RackSummary encode(RackSummary value) {
		return PeerMessages.RackSummary.newBuilder()
			.setRack(value.rack())
			.setFailureDomain(value.failureDomain())
			.setEpoch(value.epoch())
			.setWorkers(value.workers())
			.setCapacity(encode(value.capacity()))
			.setFree(encode(value.free()))
			.setLargestProcessors(value.largestProcessors())
			.setSettled(value.settled())
			.build();
	}

	public static RackSummary decode(PeerMessages.RackSummary message) {
		return new RackSummary(message.getRack(), message.getFailureDomain(), message.getEpoch(), message.getWorkers(),
				decode(message.getCapacity()), decode(message.getFree()), message.getLargestProcessors(),
				message.getSettled());
	}

	public static PeerMessages.ReserveRequest encode(ReservationRequest value, Instant now) {
		return PeerMessages.ReserveRequest.newBuilder()
			.setRack(value.rack())
			.setTeam(value.team())
			.setKind(value.kind().name())
			.setSize(encode(value.size()))
			.setRunMillis(value.runMillis())
			.addAllAttempts(value.attempts().stream().map(AttemptId::toString).toList())
			.setStartAtOnce(value.startAtOnce())
			.setHeldMillis((int) Math.max(0, Duration.between(now, value.deadline()).toMillis()))
			.build();
	}

	public static ReservationRequest decode(PeerMessages.ReserveRequest message, Instant now) {
		return new ReservationRequest(message.getRack(), message.getTeam(), WorkloadKind.valueOf(message.getKind()),
				decode(message.getSize()), message.getRunMillis(),
				message.getAttemptsList().stream().map(AttemptId::parse).toList(), message.getStartAtOnce(),
				now.plusMillis(message.getHeldMillis()));
	}

	public static PeerMessages.ReserveReply encodeReservations(List<Reservation> values) {
		return PeerMessages.ReserveReply.newBuilder()
			.addAllReservations(values.stream()
				.map((value) -> PeerMessages.Reservation.newBuilder()
					.setAttempt(value.attempt().toString())
					.setWorker(value.worker().value())
					.setIncarnation(value.incarnation())
					.build())
				.toList())
			.build();
	}

	public static List<Reservation> decode(PeerMessages.ReserveReply message) {
		return message.getReservationsList()
			.stream()
			.map((entry) -> new Reservation(AttemptId.parse(entry.getAttempt()), new WorkerId(entry.getWorker()),
					entry.getIncarnation()))
			.toList();
	}

	public static PeerMessages.StartTask encode(StartTask value) {
		return PeerMessages.StartTask.newBuilder()
			.setAttempt(value.attempt().toString())
			.setTeam(value.team())
			.setSize(encode(value.size()))
			.setRunMillis(value.runMillis())
			.build();
	}

	public static StartTask decode(PeerMessages.StartTask message) {
		return new StartTask(AttemptId.parse(message.getAttempt()), message.getTeam(), decode(message.getSize()),
				message.getRunMillis());
	}

	public static PeerMessages.AttemptEvents encodeEvents(String team, List<AttemptEvent> values) {
		return PeerMessages.AttemptEvents.newBuilder()
			.setTeam(team)
			.addAllEvents(values.stream()
				.map((value) -> PeerMessages.AttemptEvent.newBuilder()
					.setAttempt(value.attempt().toString())
					.setKind(value.kind().name())
					.setWorker(value.worker().value())
					.build())
				.toList())
			.build();
	}

	public static List<AttemptEvent> decode(PeerMessages.AttemptEvents message) {
		return message.getEventsList()
			.stream()
			.map((entry) -> new AttemptEvent(AttemptId.parse(entry.getAttempt()),
					AttemptEventKind.valueOf(entry.getKind()), new WorkerId(entry.getWorker())))
			.toList();
	}

	public static List<RackSummary> decodeSummaries(List<PeerMessages.RackSummary> messages) {
		return messages.stream().map(PeerCodec::decode).toList();
	}

}
