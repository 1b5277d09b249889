package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Pattern;

/**
 * A host whose program is started again whenever it ends. Invariant: an end that no
 * signal explains is told as a fault. Thread-safe.
 */
final class SoakHost {

	static final int CALLER_PORT = 8161;

	private static final int READINESS_PORT = 8167;

	static final int FIRST_INTERNAL_PORT = 7720;

	private static final int LAST_INTERNAL_PORT = 7735;

	private static final long RESTART_MILLIS = 100;

	/** What a program that is told to stop a second time ends with. */
	private static final int HALTED = 1;

	/** What the virtual machine ends with if it is told to stop while it starts. */
	private static final int ABORTED = 1;

	private static final String ABORTED_LINE = "Error occurred during initialization of VM\njava.lang.InternalError: Bad level: ";

	/** The virtual machine's exit codes for these signals. */
	private static final int TERMINATED = 143;

	private static final int KILLED = 137;

	/** The program of a host; that of another version for comparisons by hand. */
	static final Path JAR = Path
		.of(System.getProperty("soak.jar", "../monsoonrelay-host/target/monsoonrelay-host-0.1.0-SNAPSHOT-all.jar"));

	/** The classes that it loads, if it was built with them. */
	private static final Path ARCHIVE = Path.of(JAR.toString().replaceFirst("[.]jar$", ".jsa"));

	/** Its main class. */
	static final String MAIN = "org.monsoonrelay.host.HostMain";

	private static final Pattern TAKE_OVER = Pattern.compile("\"event\":\"OwnershipTaken\".*?\"epoch\":(\\d+)");

	private final String name;

	private final String ip;

	private final Path settings;

	private final Path log;

	private final ScheduledExecutorService timer;

	private final Consumer<String> faults;

	private final List<String> signals = new ArrayList<>();

	private final Thread onExit = new Thread(this::kill);

	private Process process;

	private long lifeBegin;

	private volatile long startedNanos = System.nanoTime();

	private boolean closed;

	SoakHost(String name, String ip, String platform, Path folder, ScheduledExecutorService timer,
			Consumer<String> faults) {
		this(name, ip, platform, Size.LARGE, folder, timer, faults);
	}

	SoakHost(String name, String ip, String platform, Size size, Path folder, ScheduledExecutorService timer,
			Consumer<String> faults) {
		this.name = name;
		this.ip = ip;
		this.settings = folder.resolve(name + ".json");
		this.log = folder.resolve(name + ".log");
		this.timer = timer;
		this.faults = faults;
		writeSettings(this.settings, name, ip, platform, size);
		write(this.log, "");
		Runtime.getRuntime().addShutdownHook(this.onExit);
	}

	/**
	 * Write the settings of a host.
	 * @param file where to
	 * @param name the host's name
	 * @param ip its address
	 * @param platform where the platform is
	 */
	static void writeSettings(Path file, String name, String ip, String platform) {
		writeSettings(file, name, ip, platform, Size.LARGE);
	}

	private static void writeSettings(Path file, String name, String ip, String platform, Size size) {
		write(file,
				"""
						{"host": "%s", "failureDomain": "d%d", "ip": "%s", "callers": "%s:%d", "readiness": "%s:%d",
						 "internalPorts": [%d, %d], "table": "%s", "eligibility": "%s", "orders": "call", "stopSeconds": 2,
						 "processorShare": %s, "processorCount": 1, "linkMbps": %d}"""
					.formatted(name, failureDomain(name), ip, ip, CALLER_PORT, ip, READINESS_PORT, FIRST_INTERNAL_PORT,
							LAST_INTERNAL_PORT, platform, platform, size.processorShare, size.linkMbps));
	}

	/**
	 * When the last process was started.
	 * @return the moment
	 */
	long startedNanos() {
		return this.startedNanos;
	}

	private static int failureDomain(String name) {
		return Math.floorMod(name.hashCode(), 2);
	}

	private static void write(Path file, String text) {
		try {
			Files.writeString(file, text, StandardOpenOption.CREATE, StandardOpenOption.TRUNCATE_EXISTING,
					StandardOpenOption.WRITE);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	String name() {
		return this.name;
	}

	String ip() {
		return this.ip;
	}

	int failureDomain() {
		return failureDomain(this.name);
	}

	/**
	 * The highest epoch as which this host has owned the pool, by its log.
	 * @return the epoch, -1 if it has never owned it
	 */
	long lastEpoch() {
		return epochs().stream().mapToLong(Long::longValue).max().orElse(-1);
	}

	/**
	 * The epochs as which this host has owned the pool, by its log.
	 * @return the epochs in order
	 */
	List<Long> epochs() {
		try {
			return TAKE_OVER.matcher(Files.readString(this.log))
				.results()
				.map((found) -> Long.parseLong(found.group(1)))
				.toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	synchronized void start() {
		if (this.closed) {
			return;
		}
		ProcessBuilder command = new ProcessBuilder(new ArrayList<>(List.of("java", "-Xmx128m", "-Xss512k",
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-XX:+ErrorFileToStdout")));
		if (Files.exists(ARCHIVE)) {
			command.command().add("-XX:SharedArchiveFile=" + ARCHIVE);
		}
		command.command().addAll(List.of("-cp", JAR.toString(), MAIN));
		command.environment().put("MONSOONRELAY_NODE_FILE", this.settings.toString());
		// Overwrites native memory when it is freed, so that what uses it after fails.
		command.environment().put("GLIBC_TUNABLES", "glibc.malloc.perturb=165");
		this.signals.clear();
		this.startedNanos = System.nanoTime();
		try {
			this.lifeBegin = Files.size(this.log);
			this.process = command.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()))
				.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.process.onExit().thenAccept(this::ended);
	}

	private synchronized void ended(Process life) {
		int code = life.exitValue();
		boolean isStopped = this.signals.contains("TERM") && (code == 0 || code == TERMINATED);
		boolean isHalted = Collections.frequency(this.signals, "TERM") > 1 && code == HALTED;
		boolean isAborted = this.signals.contains("TERM") && code == ABORTED && lifeLog().startsWith(ABORTED_LINE);
		boolean isKilled = this.signals.contains("KILL") && code == KILLED;
		if (!this.closed && !isStopped && !isHalted && !isAborted && !isKilled) {
			this.faults.accept(this.log + ": a process ended by itself with code " + code + ", sent " + this.signals);
		}
		if (!this.closed) {
			this.timer.schedule(this::start, RESTART_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Send a signal. A hang-up is for a program that has begun to serve; before that it
	 * ends any process.
	 * @param name the signal's name
	 */
	synchronized void signal(String name) {
		if (!this.process.isAlive() || (name.equals("HUP") && !hasStarted())) {
			return;
		}
		this.signals.add(name);
		try {
			new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid()))
				.redirectError(ProcessBuilder.Redirect.DISCARD)
				.start()
				.waitFor();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean hasStarted() {
		return lifeLog().contains("\"event\":\"ProcessStarted\"");
	}

	private String lifeLog() {
		try {
			byte[] written = Files.readAllBytes(this.log);
			int begin = (int) this.lifeBegin;
			return new String(written, begin, written.length - begin, StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	void close() {
		kill();
		Runtime.getRuntime().removeShutdownHook(this.onExit);
	}

	private void kill() {
		Process last;
		synchronized (this) {
			this.closed = true;
			last = this.process;
		}
		if (last != null) {
			last.destroyForcibly().onExit().join();
		}
	}

	/** What a host's settings say of its size; nothing limits the process. */
	enum Size {

		/** Of those that own the pool if they can. */
		LARGE("1", 1000),

		/** Of those that leave the pool to larger ones. */
		SMALL("0.36", 7);

		private final String processorShare;

		private final int linkMbps;

		Size(String processorShare, int linkMbps) {
			this.processorShare = processorShare;
			this.linkMbps = linkMbps;
		}

	}

}
