package second;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A small HTTP server that holds a bounded number of channels and resets each further
 * one. It keeps a channel for as long as its client does not close it.
 */
final class CappedServer implements AutoCloseable {

	/** Answers a request. */
	interface Handler {

		Answer answer(String path, Map<String, String> headers, byte[] body) throws Exception;

	}

	/** An answer. */
	record Answer(int code, byte[] body) {

	}

	private final ServerSocket server;

	private final int mostChannels;

	private final Handler handler;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private int resets;

	CappedServer(String ip, int mostChannels, Handler handler) {
		this.mostChannels = mostChannels;
		this.handler = handler;
		try {
			this.server = new ServerSocket();
			this.server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.threads.execute(this::accept);
	}

	String address() {
		return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
	}

	synchronized int resets() {
		return this.resets;
	}

	int channels() {
		return this.open.size();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				if (this.open.size() >= this.mostChannels) {
					synchronized (this) {
						this.resets++;
					}
					socket.setSoLinger(true, 0);
					socket.close();
					continue;
				}
				this.open.add(socket);
				this.threads.execute(() -> serve(socket));
			}
			catch (IOException ex) {
				// Closed, or the client was gone already.
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			OutputStream out = new BufferedOutputStream(socket.getOutputStream());
			for (String request = line(in); request != null; request = line(in)) {
				Map<String, String> headers = new HashMap<>();
				for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
					int colon = header.indexOf(':');
					headers.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).trim());
				}
				byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
				Answer answer = this.handler.answer(request.split(" ")[1], headers, body);
				out.write(("HTTP/1.1 " + answer.code() + " x\r\nContent-Type: application/json\r\nContent-Length: "
						+ answer.body().length + "\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
				out.write(answer.body());
				out.flush();
			}
		}
		catch (Exception ex) {
			// The client has closed or reset its channel.
		}
		finally {
			this.open.remove(socket);
		}
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				return null;
			}
			if (next != '\r') {
				text.write(next);
			}
		}
		return text.toString(StandardCharsets.UTF_8);
	}

	@Override
	public void close() {
		try {
			this.server.close();
			for (Socket socket : this.open) {
				socket.close();
			}
		}
		catch (IOException ex) {
			// Nothing is left to close.
		}
		this.threads.shutdownNow();
	}

}
