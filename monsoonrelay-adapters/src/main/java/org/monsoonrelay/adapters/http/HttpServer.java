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
 * One HTTP server of a process: Jooby on Netty. It passes on one request of a connection
 * at a time and refuses those that are malformed, too large or too slow. Thread-safe once
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
	 * Create a server.
	 * @param address where to listen
	 * @param maximumBodyBytes the largest request body accepted
	 * @param routes adds the routes
	 */
	public HttpServer(HostAddress address, int maximumBodyBytes, Consumer<Jooby> routes) {
		this(address, maximumBodyBytes, RECEIVE_TIMEOUT, routes);
	}

	/**
	 * Create a server.
	 * @param address where to listen
	 * @param maximumBodyBytes the largest request body accepted
	 * @param receiveTimeout how long a request may take from its first byte to its last
	 * @param routes adds the routes
	 */
	public HttpServer(HostAddress address, int maximumBodyBytes, Duration receiveTimeout, Consumer<Jooby> routes) {
		this.address = address;
		this.limits = new RequestLimits(maximumBodyBytes, receiveTimeout);
		ServerOptions options = new ServerOptions();
		options.setHost(address.host());
		options.setPort(address.port());
		options.setMaxRequestSize(maximumBodyBytes);
		// Larger bodies would be written to the disk.
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
	 * Listen.
	 * @throws IllegalStateException if the address cannot be bound
	 */
	public void start() {
		RequestGuardInstaller.register(this.address.port(), this.limits);
		try {
			this.server.start(this.application);
		}
		catch (RuntimeException ex) {
			throw new IllegalStateException("cannot listen at " + this.address + ": " + rootMessage(ex), ex);
		}
	}

	private static String rootMessage(Throwable failure) {
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
