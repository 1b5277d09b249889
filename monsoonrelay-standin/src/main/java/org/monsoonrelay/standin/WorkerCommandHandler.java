package org.monsoonrelay.standin;

import java.io.IOException;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import org.monsoonrelay.adapters.platform.HttpWorkerAgents.CommandMessage;
import org.monsoonrelay.adapters.platform.HttpWorkerAgents.ReportMessage;
import org.monsoonrelay.logic.platform.Json;

/**
 * A worker's HTTP side. Thread-safe.
 */
final class WorkerCommandHandler implements HttpHandler {

	private final WorkerStandin worker;

	WorkerCommandHandler(WorkerStandin worker) {
		this.worker = worker;
	}

	@Override
	public void handle(HttpExchange exchange) throws IOException {
		CommandMessage command = Json.read(StandinServer.body(exchange), CommandMessage.class);
		ReportMessage report = this.worker.command(command);
		if (report != null) {
			StandinServer.sendJson(exchange, 200, report);
		}
	}

}
