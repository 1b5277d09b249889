package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** HTTP servers of the stand-ins, which exchange JSON. */
final class Web {

	static final ObjectMapper JSON = new ObjectMapper();

	private static final ExecutorService THREADS = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "stand-in");
		thread.setDaemon(true);
		return thread;
	});

	private Web() {
	}

	static ObjectNode object() {
		return JSON.createObjectNode();
	}

	/** Starts a server at an address of the loopback network. */
	static HttpServer serve(String ip, int port, Handler handler) throws IOException {
		HttpServer server = HttpServer.create(new InetSocketAddress(ip, port), 1024);
		server.setExecutor(THREADS);
		server.createContext("/", (exchange) -> handle(exchange, handler));
		server.start();
		return server;
	}

	private static void handle(HttpExchange exchange, Handler handler) throws IOException {
		try (exchange) {
			byte[] body = exchange.getRequestBody().readAllBytes();
			Answer answer = handler.answer(exchange, exchange.getRequestURI().getPath(), query(exchange), body);
			if (answer == null) {
				// The connection is closed without a response.
				return;
			}
			byte[] bytes = JSON.writeValueAsBytes(answer.body());
			exchange.getResponseHeaders().set("Content-Type", "application/json");
			exchange.sendResponseHeaders(answer.code(), bytes.length);
			exchange.getResponseBody().write(bytes);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static Map<String, String> query(HttpExchange exchange) {
		Map<String, String> values = new HashMap<>();
		String raw = exchange.getRequestURI().getRawQuery();
		for (String pair : (raw != null) ? raw.split("&") : new String[0]) {
			int equals = pair.indexOf('=');
			values.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
		}
		return values;
	}

	/** Answers requests; {@code null} closes the connection without a response. */
	interface Handler {

		Answer answer(HttpExchange exchange, String path, Map<String, String> query, byte[] body)
				throws IOException, InterruptedException;

	}

}
