package org.monsoonrelay.standin;

import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.workload.Operation;
import org.monsoonrelay.model.workload.ServiceDeclaration;

/**
 * Callers of one service: requests through all gateways in turn, one in four for an
 * operation that may not be repeated, where the service declares one. Each request has a
 * name of its own. As the platform's balancer does, it leaves out a gateway that closes
 * its connections or cannot be reached. Thread-safe; it sends from pools of its own.
 */
public final class CallerLoad {

	private static final int CALLERS = 32;

	private static final int EVERY_NTH_ONCE = 4;

	private static final String NOT_RUN = "urn:monsoonrelay:problem:not-run";

	private final List<HostAddress> gateways;

	private final String service;

	private final List<Operation> repeatable;

	private final List<Operation> once;

	private final AtomicInteger sequence = new AtomicInteger();

	private final Set<HostAddress> leftOut = ConcurrentHashMap.newKeySet();

	public CallerLoad(List<HostAddress> gateways, ServiceDeclaration service) {
		this.gateways = List.copyOf(gateways);
		this.service = service.name();
		this.repeatable = service.operations().stream().filter(Operation::repeatable).toList();
		this.once = service.operations().stream().filter((operation) -> !operation.repeatable()).toList();
		if (service.operations().isEmpty()) {
			throw new IllegalArgumentException("service " + service.name() + " declares no operation");
		}
	}

	/**
	 * Send requests and classify their answers.
	 * @param count how many
	 * @return the answers, in the order of the requests
	 */
	public List<CallerAnswer> send(int count) {
		this.leftOut.clear();
		ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
		try {
			List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
			for (int index = 0; index < count; index++) {
				answers.add(CompletableFuture.supplyAsync(this::sendNext, callers));
			}
			return answers.stream().map(CompletableFuture::join).toList();
		}
		finally {
			callers.shutdown();
		}
	}

	/**
	 * Send requests for as long as something happens.
	 * @param event what happens meanwhile
	 * @return the answers, in no order
	 */
	public List<CallerAnswer> sendDuring(Runnable event) {
		this.leftOut.clear();
		ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
		AtomicBoolean over = new AtomicBoolean();
		try {
			List<CompletableFuture<List<CallerAnswer>>> answers = new ArrayList<>();
			for (int index = 0; index < CALLERS; index++) {
				answers.add(CompletableFuture.supplyAsync(() -> sendUntil(over::get), callers));
			}
			try {
				event.run();
			}
			finally {
				over.set(true);
			}
			return answers.stream().map(CompletableFuture::join).flatMap(List::stream).toList();
		}
		finally {
			callers.shutdown();
		}
	}

	/**
	 * Number of requests sent so far.
	 * @return the count
	 */
	public int sent() {
		return this.sequence.get();
	}

	private List<CallerAnswer> sendUntil(BooleanSupplier over) {
		List<CallerAnswer> answers = new ArrayList<>();
		while (!over.getAsBoolean()) {
			answers.add(sendNext());
		}
		return answers;
	}

	private CallerAnswer sendNext() {
		int number = this.sequence.getAndIncrement();
		String operation = operation(number);
		String name = "request-" + number;
		HostAddress gateway = gateway(number);
		HttpRequest request = HttpRequest
			.newBuilder(URI.create(gateway.url() + "/services/" + this.service + "/" + operation))
			.header(BackendStandin.REQUEST_NAME, name)
			.header("Content-Type", "text/plain")
			.timeout(Calls.LIMIT)
			.POST(HttpRequest.BodyPublishers.ofString("body of " + name))
			.build();
		try {
			HttpResponse<String> response = Calls.send(request);
			if (response.headers().firstValue("Connection").filter("close"::equalsIgnoreCase).isPresent()) {
				this.leftOut.add(gateway);
			}
			return new CallerAnswer(name, operation, classify(name, operation, response));
		}
		catch (UncheckedIOException ex) {
			boolean unsent = ex.getCause() instanceof ConnectException;
			if (unsent) {
				this.leftOut.add(gateway);
			}
			return new CallerAnswer(name, operation, unsent ? CallerAnswer.Kind.UNREACHED : CallerAnswer.Kind.LOST);
		}
	}

	private HostAddress gateway(int number) {
		List<HostAddress> open = this.gateways.stream().filter((address) -> !this.leftOut.contains(address)).toList();
		List<HostAddress> choice = open.isEmpty() ? this.gateways : open;
		return choice.get(number % choice.size());
	}

	private String operation(int number) {
		boolean asksOnce = this.repeatable.isEmpty() || number % EVERY_NTH_ONCE == 0;
		List<Operation> choice = (asksOnce && !this.once.isEmpty()) ? this.once : this.repeatable;
		return choice.get((number / EVERY_NTH_ONCE) % choice.size()).name();
	}

	private static CallerAnswer.Kind classify(String name, String operation, HttpResponse<String> response) {
		if (response.statusCode() != 200) {
			boolean notRun = response.body().contains(NOT_RUN)
					&& response.headers().firstValue("Retry-After").isPresent();
			return notRun ? CallerAnswer.Kind.NOT_RUN : CallerAnswer.Kind.UNKNOWN;
		}
		try {
			BackendStandin.Answer answer = Json.read(response.body(), BackendStandin.Answer.class);
			boolean own = name.equals(answer.request()) && operation.equals(answer.operation())
					&& answer.echo().equals("body of " + name);
			return own ? CallerAnswer.Kind.ANSWERED : CallerAnswer.Kind.CROSSED;
		}
		catch (IllegalArgumentException ex) {
			return CallerAnswer.Kind.CUT;
		}
	}

}
