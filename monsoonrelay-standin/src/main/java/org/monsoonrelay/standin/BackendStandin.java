package org.monsoonrelay.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.sun.net.httpserver.HttpExchange;
import org.monsoonrelay.adapters.platform.HttpBackendClient;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.host.Host;

/**
 * One backend server with a fixed number of slots. Refuses a request before it starts
 * when all slots are taken or it is leaving. Thread-safe.
 */
final class BackendStandin {

	/** Header by which the driver names a request, so that repeats are counted. */
	static final String REQUEST_NAME = "Driver-Request";

	private static final int UNAVAILABLE = 503;

	private static final int FAILING = 500;

	private final Host host;

	private final int slots;

	private final int serviceMillis;

	private final ScheduledExecutorService timer;

	private final RequestLog log;

	private final Set<InetSocketAddress> connections = new HashSet<>();

	private final Set<InetSocketAddress> silent = new HashSet<>();

	private int inFlight;

	private BackendFault fault = BackendFault.NONE;

	BackendStandin(Host host, int slots, int serviceMillis, ScheduledExecutorService timer, RequestLog log) {
		this.host = host;
		this.slots = slots;
		this.serviceMillis = serviceMillis;
		this.timer = timer;
		this.log = log;
	}

	void listen() {
		new StandinServer(this.host.address(), Executors.newFixedThreadPool(2)).route("/", this::handle).start();
	}

	private void handle(HttpExchange exchange) throws IOException {
		byte[] body = exchange.getRequestBody().readAllBytes();
		String operation = exchange.getRequestURI().getPath().substring(1);
		String name = exchange.getRequestHeaders().getFirst(REQUEST_NAME);
		int delay;
		synchronized (this) {
			this.connections.add(exchange.getRemoteAddress());
			if (this.fault.frozen() || this.silent.contains(exchange.getRemoteAddress())) {
				return;
			}
			if (this.fault.leaving() || this.inFlight >= this.slots) {
				refuse(exchange, this.fault.leaving() ? "leaving" : "full");
				return;
			}
			this.inFlight++;
			delay = this.serviceMillis + this.fault.slowMillis();
		}
		this.log.ran(this.host.name(), operation, name);
		this.timer.schedule(() -> {
			answer(exchange, operation, name, body);
			return null;
		}, delay, TimeUnit.MILLISECONDS);
	}

	private void refuse(HttpExchange exchange, String reason) throws IOException {
		this.log.refused();
		exchange.getResponseHeaders().set(HttpBackendClient.NOT_STARTED, reason);
		StandinServer.send(exchange, UNAVAILABLE, reason);
	}

	private void answer(HttpExchange exchange, String operation, String name, byte[] body) throws IOException {
		boolean cut;
		boolean drop;
		boolean failing;
		synchronized (this) {
			this.inFlight--;
			cut = this.fault.cutAnswers() > 0;
			drop = this.fault.dropAfterRead() > 0;
			failing = this.fault.failing();
			this.fault = new BackendFault(this.fault.slowMillis(), Math.max(0, this.fault.cutAnswers() - 1),
					Math.max(0, this.fault.dropAfterRead() - 1), this.fault.frozen(), false, failing,
					this.fault.leaving());
		}
		if (drop) {
			exchange.close();
			return;
		}
		String answer = Json
			.write(new Answer(operation, name, this.host.name(), new String(body, StandardCharsets.UTF_8)));
		if (cut) {
			byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
			exchange.sendResponseHeaders(200, bytes.length);
			exchange.getResponseBody().write(bytes, 0, bytes.length / 2);
			exchange.getResponseBody().flush();
			exchange.close();
			return;
		}
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		StandinServer.send(exchange, failing ? FAILING : 200, answer);
	}

	synchronized void setFault(BackendFault next) {
		if (next.silenceConnections()) {
			this.silent.addAll(this.connections);
		}
		this.fault = next;
	}

	Host host() {
		return this.host;
	}

	/**
	 * Body of an answer.
	 *
	 * @param operation the operation that ran
	 * @param request the driver's name of the request
	 * @param server the backend server's name
	 * @param echo the request's body
	 */
	public record Answer(String operation, String request, String server, String echo) {

	}

}
