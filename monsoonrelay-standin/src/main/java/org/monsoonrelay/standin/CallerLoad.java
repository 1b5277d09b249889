package org.monsoonrelay.standin;

import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.host.HostAddress;

/**
 * Callers: lookups and confirmations through all gateways in turn. Not thread-safe; it
 * sends from a pool of its own.
 */
public final class CallerLoad {

	private static final int CALLERS = 32;

	private static final int EVERY_NTH_CONFIRMS = 4;

	private static final String NOT_RUN = "urn:monsoonrelay:problem:not-run";

	private final List<HostAddress> gateways;

	private final String service;

	public CallerLoad(List<HostAddress> gateways, String service) {
		this.gateways = List.copyOf(gateways);
		this.service = service;
	}

	/**
	 * Send requests and classify their answers.
	 * @param count how many
	 * @return the answers, in the order of the requests
	 */
	public List<CallerAnswer> send(int count) {
		ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
		try {
			List<CompletableFuture<CallerAnswer>> answers = new ArrayList<>();
			for (int index = 0; index < count; index++) {
				int number = index;
				answers.add(CompletableFuture.supplyAsync(() -> sendOne(number), callers));
			}
			return answers.stream().map(CompletableFuture::join).toList();
		}
		finally {
			callers.shutdown();
		}
	}

	private CallerAnswer sendOne(int number) {
		String operation = (number % EVERY_NTH_CONFIRMS == 0) ? "confirm-booking" : "lookup";
		String name = "request-" + number;
		HostAddress gateway = this.gateways.get(number % this.gateways.size());
		HttpRequest request = HttpRequest
			.newBuilder(URI.create(gateway.url() + "/services/" + this.service + "/" + operation))
			.header(BackendStandin.REQUEST_NAME, name)
			.header("Content-Type", "text/plain")
			.POST(HttpRequest.BodyPublishers.ofString("body of " + name))
			.build();
		try {
			return new CallerAnswer(name, operation, classify(name, operation, Calls.send(request)));
		}
		catch (UncheckedIOException ex) {
			return new CallerAnswer(name, operation, CallerAnswer.Kind.LOST);
		}
	}

	private static CallerAnswer.Kind classify(String name, String operation, HttpResponse<String> response) {
		if (response.statusCode() != 200) {
			return response.body().contains(NOT_RUN) ? CallerAnswer.Kind.NOT_RUN : CallerAnswer.Kind.UNKNOWN;
		}
		BackendStandin.Answer answer = Json.read(response.body(), BackendStandin.Answer.class);
		boolean own = name.equals(answer.request()) && operation.equals(answer.operation())
				&& answer.echo().equals("body of " + name);
		return own ? CallerAnswer.Kind.ANSWERED : CallerAnswer.Kind.CROSSED;
	}

}
