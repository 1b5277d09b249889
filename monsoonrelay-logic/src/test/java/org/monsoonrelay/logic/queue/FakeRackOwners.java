package org.monsoonrelay.logic.queue;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.placement.PackingPolicy;
import org.monsoonrelay.logic.placement.RackSummary;
import org.monsoonrelay.logic.placement.Reservation;
import org.monsoonrelay.logic.placement.ReservationRequest;
import org.monsoonrelay.logic.rack.StartTask;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.job.AttemptId;
import org.monsoonrelay.model.worker.Worker;
import org.monsoonrelay.model.worker.WorkerId;

/**
 * In-memory rack owners with real worker ledgers. Reservation requests are queued and
 * then delivered from both ends of the queue in turn, so that the requests of two queue
 * owners always interleave.
 */
final class FakeRackOwners implements RackOwners {

	final Map<String, List<Worker>> workers = new TreeMap<>();

	final Map<String, String> domains = new TreeMap<>();

	final Map<AttemptId, Worker> running = new LinkedHashMap<>();

	final List<AttemptId> stopped = new ArrayList<>();

	private final Deque<Runnable> network = new ArrayDeque<>();

	void addRack(String domain, String rack, Resources... sizes) {
		this.domains.put(rack, domain);
		List<Worker> inRack = new ArrayList<>();
		for (Resources size : sizes) {
			Worker worker = new Worker(new WorkerId(rack + "-" + inRack.size()), size);
			worker.applyReport("incarnation-1", Map.of());
			inRack.add(worker);
		}
		this.workers.put(rack, inRack);
	}

	boolean deliverRequests() {
		boolean delivered = !this.network.isEmpty();
		while (!this.network.isEmpty()) {
			this.network.pollFirst().run();
			Optional.ofNullable(this.network.pollLast()).ifPresent(Runnable::run);
		}
		return delivered;
	}

	List<RackSummary> summaries() {
		List<RackSummary> summaries = new ArrayList<>();
		this.workers.forEach((rack, inRack) -> {
			Resources capacity = inRack.stream().map(Worker::capacity).reduce(Resources.NONE, Resources::plus);
			Resources free = inRack.stream().map(Worker::freeCapacity).reduce(Resources.NONE, Resources::plus);
			int largest = inRack.stream().mapToInt((worker) -> worker.freeCapacity().processors()).max().orElse(0);
			summaries
				.add(new RackSummary(rack, this.domains.get(rack), 1, inRack.size(), capacity, free, largest, true));
		});
		return summaries;
	}

	void endAttempt(AttemptId attempt) {
		this.running.remove(attempt).release(attempt);
	}

	void expireReservations(Instant now) {
		this.workers.values().forEach((inRack) -> inRack.forEach((worker) -> worker.expireReservations(now)));
	}

	@Override
	public CompletableFuture<List<Reservation>> reserve(ReservationRequest request) {
		CompletableFuture<List<Reservation>> answer = new CompletableFuture<>();
		this.network.add(() -> {
			List<Reservation> reserved = new ArrayList<>();
			for (AttemptId attempt : request.attempts()) {
				new PackingPolicy().choose(attempt.job(), request.size(), this.workers.get(request.rack()))
					.filter((worker) -> worker.reserve(attempt, request.size(), request.deadline()))
					.ifPresent((worker) -> {
						reserved.add(new Reservation(attempt, worker.id(), worker.incarnation()));
						if (request.startAtOnce() && worker.grant(attempt)) {
							this.running.put(attempt, worker);
						}
					});
			}
			answer.complete(reserved);
		});
		return answer;
	}

	@Override
	public CompletableFuture<List<AttemptId>> start(String rack, List<StartTask> starts) {
		List<AttemptId> refused = new ArrayList<>();
		for (StartTask start : starts) {
			this.workers.get(rack)
				.stream()
				.filter((worker) -> worker.grant(start.attempt()))
				.findFirst()
				.ifPresentOrElse((worker) -> this.running.put(start.attempt(), worker),
						() -> refused.add(start.attempt()));
		}
		return CompletableFuture.completedFuture(refused);
	}

	@Override
	public void release(String rack, Collection<AttemptId> attempts) {
		this.workers.get(rack).forEach((worker) -> attempts.forEach(worker::release));
	}

	@Override
	public void stop(String rack, AttemptId attempt, WorkerId worker, String team) {
		this.stopped.add(attempt);
	}

	@Override
	public void resolve(String rack, AttemptId attempt, WorkerId worker, String incarnation, String team) {
		throw new UnsupportedOperationException("FakeRackOwners has no attempts in doubt");
	}

}
