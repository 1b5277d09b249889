package org.monsoonrelay.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.host.HostAddress;

/**
 * A small HTTP server on the JDK's own, with the helpers that all stand-ins need.
 * Thread-safe.
 */
final class StandinServer {

	private static final int BACKLOG = 1024;

	private final HttpServer server;

	StandinServer(HostAddress address, ExecutorService threads) {
		try {
			this.server = HttpServer.create(new InetSocketAddress(address.host(), address.port()), BACKLOG);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot listen at " + address + ": " + ex.getMessage(), ex);
		}
		this.server.setExecutor(threads);
	}

	StandinServer route(String path, HttpHandler handler) {
		this.server.createContext(path, (exchange) -> {
			try {
				handler.handle(exchange);
			}
			catch (IllegalArgumentException ex) {
				send(exchange, 400, String.valueOf(ex.getMessage()));
			}
		});
		return this;
	}

	void start() {
		this.server.start();
	}

	void stop() {
		this.server.stop(0);
	}

	static String body(HttpExchange exchange) throws IOException {
		return new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
	}

	static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> parameters = new HashMap<>();
		String raw = exchange.getRequestURI().getRawQuery();
		if (raw == null) {
			return parameters;
		}
		for (String pair : raw.split("&")) {
			int equals = pair.indexOf('=');
			String name = (equals >= 0) ? pair.substring(0, equals) : pair;
			String value = (equals >= 0) ? pair.substring(equals + 1) : "";
			parameters.put(name, URLDecoder.decode(value, StandardCharsets.UTF_8));
		}
		return parameters;
	}

	static void sendJson(HttpExchange exchange, int status, Object value) throws IOException {
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		send(exchange, status, Json.write(value));
	}

	static void send(HttpExchange exchange, int status, String text) throws IOException {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		try (exchange) {
			exchange.sendResponseHeaders(status, (bytes.length > 0) ? bytes.length : -1);
			if (bytes.length > 0) {
				exchange.getResponseBody().write(bytes);
			}
		}
	}

}
