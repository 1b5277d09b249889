package org.monsoonrelay.adapters.http;

import java.nio.file.Path;
import java.time.Duration;
import java.util.function.Consumer;

import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import org.monsoonrelay.model.host.HostAddress;

/**
 * An HTTP server based on Jooby and Netty. It processes one request of a connection at a
 * time and rejects requests that are malformed, too large or too slow. Thread-safe once
 * started.
 */
public final class HttpServer implements AutoCloseable {

	private static final Duration RECEIVE_TIMEOUT = Duration.ofSeconds(10);

	private static final int IO_THREADS = 4;

	private static final int WORKER_THREADS = 16;

	private final Jooby application = new Jooby();

	private final NettyServer server = new NettyServer();

	private final HostAddress address;

	private final RequestLimits limits;

	static {
		RequestGuardInstaller.enable();
	}

	/**
	 * Creates a server.
	 * @param address the address to listen on
	 * @param maximumBodyBytes the maximum size of a request body, bytes
	 * @param routes adds the routes to the application
	 */
	public HttpServer(HostAddress address, int maximumBodyBytes, Consumer<Jooby> routes) {
		this(address, maximumBodyBytes, RECEIVE_TIMEOUT, routes);
	}

	/**
	 * Creates a server.
	 * @param address the address to listen on
	 * @param maximumBodyBytes the maximum size of a request body, bytes
	 * @param receiveTimeout the maximum time from the first to the last byte of a request
	 * @param routes adds the routes to the application
	 */
	public HttpServer(HostAddress address, int maximumBodyBytes, Duration receiveTimeout, Consumer<Jooby> routes) {
		this.address = address;
		this.limits = new RequestLimits(maximumBodyBytes, receiveTimeout);
		ServerOptions options = new ServerOptions();
		options.setHost(address.host());
		options.setPort(address.port());
		options.setMaxRequestSize(maximumBodyBytes);
		// Jooby writes bodies larger than the buffer to the disk.
		options.setBufferSize(maximumBodyBytes);
		options.setIoThreads(IO_THREADS);
		options.setWorkerThreads(WORKER_THREADS);
		options.setDefaultHeaders(false);
		this.server.setOptions(options);
		// The working directory may be read-only.
		this.application.setTmpdir(Path.of(System.getProperty("java.io.tmpdir"), "monsoonrelay"));
		this.application.setExecutionMode(ExecutionMode.EVENT_LOOP);
		routes.accept(this.application);
	}

	/**
	 * Binds the address and starts to accept connections.
	 * @throws IllegalStateException if the address cannot be bound
	 */
	public void start() {
		RequestGuardInstaller.register(this.address.port(), this.limits);
		try {
			this.server.start(this.application);
		}
		catch (RuntimeException ex) {
			throw new IllegalStateException("cannot listen at " + this.address + ": " + rootCauseMessage(ex), ex);
		}
	}

	private static String rootCauseMessage(Throwable failure) {
		Throwable root = failure;
		while (root.getCause() != null) {
			root = root.getCause();
		}
		return root.getMessage();
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
