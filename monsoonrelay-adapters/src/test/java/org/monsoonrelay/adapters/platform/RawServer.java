package org.monsoonrelay.adapters.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.monsoonrelay.model.host.HostAddress;

/**
 * A backend server that says on each connection, byte for byte, what its script says.
 * Once it is closed, all its connections are, and new ones are refused. Thread-safe.
 */
public final class RawServer implements AutoCloseable {

	private final ServerSocket listener;

	private final Script script;

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final CompletableFuture<Void> accepting;

	private final List<Connection> connections = new CopyOnWriteArrayList<>();

	private final List<String> requests = new CopyOnWriteArrayList<>();

	/**
	 * Listen.
	 * @param script what happens on each connection
	 */
	public RawServer(Script script) {
		this.script = script;
		try {
			this.listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.accepting = CompletableFuture.runAsync(this::accept, this.threads);
	}

	private void accept() {
		try {
			while (true) {
				Connection connection = new Connection(this.listener.accept(), this.connections.size() + 1);
				this.connections.add(connection);
				this.threads.execute(() -> serve(connection));
			}
		}
		catch (IOException ex) {
			// The test is over.
		}
	}

	private void serve(Connection connection) {
		try {
			this.script.serve(connection);
		}
		catch (IOException ex) {
			// The client has gone.
		}
	}

	/**
	 * Where it listens.
	 * @return the address
	 */
	public HostAddress address() {
		return new HostAddress("127.0.0.1", this.listener.getLocalPort());
	}

	/**
	 * Connections that were taken so far.
	 * @return their number
	 */
	public int connections() {
		return this.connections.size();
	}

	/**
	 * Requests that were read so far.
	 * @return their heads and bodies
	 */
	public List<String> requests() {
		return this.requests;
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		// The kernel takes connections as long as a thread is still in accept.
		this.accepting.join();
		for (Connection connection : this.connections) {
			connection.close();
		}
		this.threads.shutdownNow();
	}

	/**
	 * An answer that tells success.
	 * @param body its body
	 * @return the answer as sent
	 */
	public static String answer(String body) {
		return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	/**
	 * What happens on a connection.
	 */
	public interface Script {

		/**
		 * Serve a connection.
		 * @param connection the connection
		 * @throws IOException if the client has gone
		 */
		void serve(Connection connection) throws IOException;

	}

	/**
	 * One connection; the number counts from 1.
	 */
	public final class Connection {

		private final Socket socket;

		private final BufferedReader reader;

		private final int number;

		Connection(Socket socket, int number) throws IOException {
			this.socket = socket;
			this.number = number;
			this.reader = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
		}

		/**
		 * Its number.
		 * @return the number, from 1
		 */
		public int number() {
			return this.number;
		}

		/**
		 * Read one request.
		 * @return its head and body
		 * @throws IOException if there is none
		 */
		public String read() throws IOException {
			StringBuilder request = new StringBuilder();
			int length = 0;
			for (String line = this.reader.readLine(); !"".equals(line); line = this.reader.readLine()) {
				if (line == null) {
					throw new IOException("the client has gone");
				}
				length = line.startsWith("Content-Length: ") ? Integer.parseInt(line.substring(16)) : length;
				request.append(line).append('\n');
			}
			for (int index = 0; index < length; index++) {
				request.append((char) this.reader.read());
			}
			RawServer.this.requests.add(request.toString());
			return request.toString();
		}

		/**
		 * Write text as it is.
		 * @param text the text
		 * @throws IOException if the client has gone
		 */
		public void write(String text) throws IOException {
			this.socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
			this.socket.getOutputStream().flush();
		}

		/**
		 * Close the connection.
		 * @throws IOException if that fails
		 */
		public void close() throws IOException {
			this.socket.close();
		}

	}

}
