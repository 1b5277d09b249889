package org.monsoonrelay.benchmarks.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.monsoonrelay.logic.routing.AttemptResult;
import org.monsoonrelay.logic.routing.BackendPool;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.logic.routing.RefusalBackoff;
import org.monsoonrelay.logic.routing.RetryBudget;
import org.monsoonrelay.logic.routing.ServerSelector;
import org.monsoonrelay.logic.routing.ServiceRouter;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.request.RequestOutcome;
import org.monsoonrelay.model.request.TrafficClass;

/**
 * Discrete events around the real routers and pools of several gateways: arrivals,
 * messages and service times are modelled, decisions are not. The same seed gives the
 * same result. Not thread-safe.
 */
final class RoutingModel {

	private static final int MAXIMUM_WAITING = 1000;

	private static final int TIMER_NANOS = 2_000_000;

	private static final long NANOS_A_SECOND = 1_000_000_000L;

	private static final List<String> FAILURE_DOMAINS = List.of("domain-a", "domain-b", "domain-c");

	private final ModelCell cell;

	private final ModelClock clock = new ModelClock();

	private final UniformRandomProvider arrivals;

	private final UniformRandomProvider services;

	private final List<ServiceRouter> routers = new ArrayList<>();

	private final Map<HostAddress, ModelExecutor> executors = new HashMap<>();

	private final Map<String, ModelRequest> requests = new HashMap<>();

	private final Map<TrafficClass, ModelResult> results = new EnumMap<>(TrafficClass.class);

	private long lastId;

	/**
	 * Create a model.
	 * @param cell sizes of the cell
	 * @param pause what gateways do after a refusal
	 * @param choices makes the choice of each gateway
	 */
	RoutingModel(ModelCell cell, RefusalBackoff pause, Function<UniformRandomProvider, ServerSelector> choices) {
		this.cell = cell;
		this.arrivals = RandomSource.XO_RO_SHI_RO_128_PP.create(cell.seed());
		this.services = RandomSource.XO_RO_SHI_RO_128_PP.create(cell.seed() + 1);
		List<Host> hosts = hosts();
		hosts.forEach((host) -> this.executors.put(host.address(), new ModelExecutor(cell.slots())));
		for (int index = 0; index < cell.gateways(); index++) {
			ServerSelector choice = choices.apply(RandomSource.XO_RO_SHI_RO_128_PP.create(cell.seed() + 2 + index));
			BackendPool pool = new BackendPool(cell.slots(), failureDomain(index), this.clock, choice, pause);
			pool.update(hosts);
			this.routers.add(new ServiceRouter(pool, this::send, new RetryBudget(0.1, 20), this.clock, MAXIMUM_WAITING,
					Duration.ofMinutes(1)));
		}
	}

	private List<Host> hosts() {
		List<Host> hosts = new ArrayList<>();
		for (int index = 0; index < this.cell.executors(); index++) {
			String name = "backend-" + (index + 1);
			hosts.add(new Host(name, new HostAddress("10.0.0." + (index + 1), 9200), HostKind.BACKEND_SERVER,
					name + "-start-1", failureDomain(index), "rack", "service", HostState.LIVE, Resources.NONE));
		}
		return hosts;
	}

	private static String failureDomain(int index) {
		return FAILURE_DOMAINS.get(index % FAILURE_DOMAINS.size());
	}

	/**
	 * Run the model to its end. To be called once.
	 * @param streams the streams of requests, of different classes
	 * @return the results by class
	 */
	Map<TrafficClass, ModelResult> run(List<ModelTraffic> streams) {
		for (ModelTraffic stream : streams) {
			this.results.put(stream.trafficClass(), new ModelResult());
			scheduleArrival(stream);
		}
		tick();
		this.clock.runUntil(this.cell.seconds() * NANOS_A_SECOND);
		return this.results;
	}

	private void tick() {
		this.routers.forEach(ServiceRouter::refuseExpired);
		this.clock.after(TIMER_NANOS, this::tick);
	}

	private void scheduleArrival(ModelTraffic stream) {
		double meanGap = this.cell.service().toNanos() / (this.cell.capacity() * stream.load());
		this.clock.after(exponential(this.arrivals, meanGap), () -> {
			arrive(stream);
			scheduleArrival(stream);
		});
	}

	private static long exponential(UniformRandomProvider random, double mean) {
		return Math.round(-mean * Math.log1p(-random.nextDouble()));
	}

	private void arrive(ModelTraffic stream) {
		String id = Long.toString(++this.lastId);
		boolean measured = this.clock.nanos() >= NANOS_A_SECOND;
		ModelResult result = measured ? this.results.get(stream.trafficClass()) : new ModelResult();
		result.arrived();
		long service = exponential(this.services, this.cell.service().toNanos());
		this.requests.put(id, new ModelRequest(this.clock.nanos(), service, result));
		ForwardedRequest request = new ForwardedRequest(id, "service", stream.operation(), "GET", "", List.of(),
				new byte[0], this.clock.instant().plus(stream.deadline()));
		this.routers.get(gateway()).route(request).thenAccept((outcome) -> {
			this.requests.remove(id);
			if (!(outcome instanceof RequestOutcome.Answered)) {
				result.notRun();
			}
		});
	}

	private int gateway() {
		double left = this.arrivals.nextDouble();
		int index = 0;
		while (index < this.cell.gateways() - 1 && left >= this.cell.share(index)) {
			left -= this.cell.share(index);
			index++;
		}
		return index;
	}

	private CompletableFuture<AttemptResult> send(HostAddress server, ForwardedRequest request, Instant giveUpAt) {
		CompletableFuture<AttemptResult> answer = new CompletableFuture<>();
		ModelRequest sent = this.requests.get(request.id());
		this.clock.after(this.cell.oneWay().toNanos(), () -> receive(this.executors.get(server), sent, answer));
		return answer;
	}

	private void receive(ModelExecutor executor, ModelRequest request, CompletableFuture<AttemptResult> answer) {
		long oneWay = this.cell.oneWay().toNanos();
		if (!executor.tryStart()) {
			request.result().refused();
			this.clock.after(oneWay, () -> answer.complete(new AttemptResult.Refused(false)));
			return;
		}
		request.result().started(this.clock.nanos() - oneWay - request.arrivedAt());
		this.clock.after(request.serviceNanos(), () -> {
			executor.end();
			AttemptResult whole = new AttemptResult.Answered(200, List.of(), new byte[0]);
			this.clock.after(oneWay, () -> answer.complete(whole));
		});
	}

	private record ModelRequest(long arrivedAt, long serviceNanos, ModelResult result) {

	}

}
