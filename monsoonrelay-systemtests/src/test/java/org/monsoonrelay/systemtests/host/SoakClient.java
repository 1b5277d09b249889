package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * A client that hands in one job after the other over a connection that it keeps until it
 * breaks, and tries a job that was not accepted again elsewhere. Confined to one thread;
 * what it learnt may be read once that has ended.
 */
final class SoakClient implements Runnable {

	private static final int OK = 200;

	private static final int REFUSED = 503;

	private static final int UNKNOWN = 504;

	private static final int MOST_TRIES = 6;

	private static final int LONGEST_PAUSE_MILLIS = 30;

	/** A job of tasks and a gang that depends on them. */
	static final String JOB = """
			{"steps": [{"count": 3, "cpu": 2000, "mem_mb": 500, "estimate_ms": 300},
			 {"count": 4, "cpu": 2000, "mem_mb": 500, "estimate_ms": 300, "depends_on": [0], "gang": true}]}""";

	/** Tasks of a job. */
	static final int TASKS = 7;

	/** Tasks of the job's gang. */
	static final int GANG_TASKS = 4;

	private final Random random;

	private final List<SoakHost> hosts;

	private final Consumer<String> faults;

	private final Work work;

	/** When the answer was there, by job. */
	private final Map<String, Long> accepted = new ConcurrentHashMap<>();

	private final Set<String> refused = new HashSet<>();

	private volatile boolean stopping;

	private int host;

	private HostConnection connection;

	SoakClient(long seed, List<SoakHost> hosts, Consumer<String> faults) {
		this(seed, hosts, faults, new Work(JOB, LONGEST_PAUSE_MILLIS, (job) -> {
		}));
	}

	SoakClient(long seed, List<SoakHost> hosts, Consumer<String> faults, Work work) {
		this.work = work;
		this.random = new Random(seed);
		this.hosts = hosts;
		this.faults = faults;
		this.host = this.random.nextInt(hosts.size());
	}

	void stop() {
		this.stopping = true;
	}

	/**
	 * Jobs that were accepted.
	 * @return their ids
	 */
	Set<String> accepted() {
		return this.accepted.keySet();
	}

	/**
	 * Jobs that were accepted before a moment, for any thread.
	 * @param nanos the moment
	 * @return their ids
	 */
	Stream<String> acceptedBefore(long nanos) {
		return this.accepted.entrySet().stream().filter((entry) -> entry.getValue() - nanos < 0).map(Map.Entry::getKey);
	}

	/**
	 * Jobs of which every try was refused, so that none of them may have run.
	 * @return their ids
	 */
	Set<String> refused() {
		return this.refused;
	}

	@Override
	public void run() {
		while (!this.stopping || this.accepted.isEmpty()) {
			String job = "%016x".formatted(this.random.nextLong());
			this.work.announce().accept(job);
			handIn(job);
			pause(this.random.nextInt(this.work.longestPauseMillis()));
		}
		leave();
	}

	private void handIn(String job) {
		boolean isSurelyRefused = true;
		for (int i = 0; i < MOST_TRIES; i++) {
			int code = ask("POST", job, this.work.job()).code();
			if (code == OK) {
				this.accepted.put(job, System.nanoTime());
				return;
			}
			isSurelyRefused &= code == REFUSED;
			if (code != REFUSED && code != UNKNOWN) {
				this.faults.accept("job " + job + " was answered with " + code);
			}
			leave();
			pause(50 + this.random.nextInt(250));
		}
		if (isSurelyRefused) {
			this.refused.add(job);
		}
	}

	/**
	 * Read a job's state.
	 * @param job the job's id
	 * @return the answer's body, empty if none came
	 */
	String state(String job) {
		HostConnection.Response told = ask("GET", job, "");
		if (told.code() != OK) {
			leave();
		}
		return told.body();
	}

	private HostConnection.Response ask(String method, String job, String body) {
		try {
			if (this.connection == null) {
				this.connection = new HostConnection(this.hosts.get(this.host).ip());
			}
			HostConnection.Response response = this.connection.send(method, "/" + PlatformFake.QUEUE + "/" + job, body);
			if (response.isLast()) {
				leave();
			}
			return response;
		}
		catch (IOException ex) {
			// What became of the job is not known.
			return new HostConnection.Response(UNKNOWN, "", false);
		}
	}

	private void leave() {
		this.host = (this.host + 1) % this.hosts.size();
		if (this.connection != null) {
			this.connection.close();
			this.connection = null;
		}
	}

	private static void pause(long millis) {
		LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis));
	}

	/**
	 * What a client hands in.
	 *
	 * @param job the text of each job
	 * @param longestPauseMillis longest pause between two jobs
	 * @param announce told of each job's id before it is handed in
	 */
	record Work(String job, int longestPauseMillis, Consumer<String> announce) {

	}

}
