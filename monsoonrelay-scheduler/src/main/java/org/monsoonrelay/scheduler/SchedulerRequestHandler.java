package org.monsoonrelay.scheduler;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.monsoonrelay.adapters.peer.PeerCodec;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.AttemptEvents;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Empty;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.ResolveRequest;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StartReply;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StatusReply;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StopRequest;
import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.queue.QueueManager;
import org.monsoonrelay.logic.rack.RackManager;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * Handles requests of other schedulers. Thread-safe: requests are executed on the control
 * thread.
 */
final class SchedulerRequestHandler {

	private static final int ACKNOWLEDGEMENT_TIMEOUT_MILLIS = 400;

	private final RackManager racks;

	private final QueueManager queues;

	private final ScheduledExecutorService control;

	private final InstantSource clock;

	SchedulerRequestHandler(RackManager racks, QueueManager queues, ScheduledExecutorService control,
			InstantSource clock) {
		this.racks = racks;
		this.queues = queues;
		this.control = control;
		this.clock = clock;
	}

	CompletableFuture<Envelope.Builder> handle(Envelope request) {
		return CompletableFuture.supplyAsync(() -> dispatch(request), this.control).thenCompose((reply) -> reply);
	}

	private CompletableFuture<Envelope.Builder> dispatch(Envelope request) {
		return switch (request.getBodyCase()) {
			case RESERVE_REQUEST -> completed(Envelope.newBuilder()
				.setReserveReply(PeerCodec.encodeReservations(
						this.racks.reserve(PeerCodec.decode(request.getReserveRequest(), this.clock.instant())))));
			case START_REQUEST -> completed(Envelope.newBuilder().setStartReply(startTasks(request)));
			case RELEASE_REQUEST -> {
				this.racks
					.release(request.getReleaseRequest().getAttemptsList().stream().map(AttemptId::parse).toList());
				yield emptyReply();
			}
			case STOP_REQUEST -> {
				StopRequest stop = request.getStopRequest();
				this.racks.stop(AttemptId.parse(stop.getAttempt()), new WorkerId(stop.getWorker()), stop.getTeam());
				yield emptyReply();
			}
			case RESOLVE_REQUEST -> {
				ResolveRequest resolve = request.getResolveRequest();
				this.racks.resolve(AttemptId.parse(resolve.getAttempt()), new WorkerId(resolve.getWorker()),
						resolve.getTeam());
				yield emptyReply();
			}
			case QUEUE_CLAIM -> {
				this.racks.republishRunning(request.getQueueClaim().getTeam());
				yield emptyReply();
			}
			case ATTEMPT_EVENTS -> handleEvents(request.getAttemptEvents());
			case STATUS_REQUEST -> completed(Envelope.newBuilder()
				.setStatusReply(StatusReply.newBuilder().setStatusJson(Json.write(this.queues.jobStatuses()))));
			default -> emptyReply();
		};
	}

	private StartReply startTasks(Envelope request) {
		List<StartTask> starts = request.getStartRequest().getStartsList().stream().map(PeerCodec::decode).toList();
		return StartReply.newBuilder()
			.addAllRefused(starts.stream()
				.filter((start) -> !this.racks.start(start))
				.map((start) -> start.attempt().toString())
				.toList())
			.build();
	}

	private CompletableFuture<Envelope.Builder> handleEvents(AttemptEvents message) {
		List<AttemptEvent> events = PeerCodec.decode(message);
		List<AttemptEvent> acknowledged = new ArrayList<>();
		CompletableFuture<Void> all = new CompletableFuture<>();
		for (AttemptEvent event : events) {
			this.queues.handleEvent(event, message.getTeam(), (done) -> {
				acknowledged.add(done);
				if (acknowledged.size() == events.size()) {
					all.complete(null);
				}
			});
		}
		return all.completeOnTimeout(null, ACKNOWLEDGEMENT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
			.thenApplyAsync(
					(done) -> Envelope.newBuilder()
						.setAttemptEvents(PeerCodec.encodeEvents(message.getTeam(), List.copyOf(acknowledged))),
					this.control);
	}

	private static CompletableFuture<Envelope.Builder> completed(Envelope.Builder reply) {
		return CompletableFuture.completedFuture(reply);
	}

	private static CompletableFuture<Envelope.Builder> emptyReply() {
		return completed(Envelope.newBuilder().setEmpty(Empty.getDefaultInstance()));
	}

}
