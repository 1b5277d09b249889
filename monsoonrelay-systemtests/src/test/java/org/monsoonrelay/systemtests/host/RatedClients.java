package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Clients that together hand in jobs at a rate, each over a connection that it uses until
 * it breaks or is said to end. A job without an answer is sent again under its id, and
 * some jobs are sent again long after their answer. Thread-safe.
 */
final class RatedClients {

	private static final int CLIENTS = 64;

	private static final int OK = 200;

	private static final int NO_ANSWER = -1;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int FIRST_SERVER_ERROR = 500;

	private static final int MOST_TRIES = 8;

	private static final int REPEATED_SHARE = 10;

	private static final int LATEST_REPEAT_MILLIS = 4000;

	private final List<Thread> threads = new ArrayList<>();

	private final AtomicInteger next = new AtomicInteger();

	private final Map<String, RatedJob> accepted = new ConcurrentHashMap<>();

	private final long seed;

	private final List<SoakHost> hosts;

	private final double jobsPerSecond;

	private final Consumer<String> faults;

	private volatile long startNanos;

	private volatile boolean stopping;

	RatedClients(long seed, List<SoakHost> hosts, double jobsPerSecond, Consumer<String> faults) {
		this.seed = seed;
		this.hosts = hosts;
		this.jobsPerSecond = jobsPerSecond;
		this.faults = faults;
	}

	void start() {
		this.startNanos = System.nanoTime();
		for (int i = 0; i < CLIENTS; i++) {
			Client client = new Client(i);
			this.threads.add(new Thread(client::run, "client-" + i));
		}
		this.threads.forEach(Thread::start);
	}

	void stop() throws InterruptedException {
		this.stopping = true;
		for (Thread thread : this.threads) {
			thread.join();
		}
	}

	/**
	 * Jobs that were accepted.
	 * @return the jobs
	 */
	List<RatedJob> accepted() {
		return List.copyOf(this.accepted.values());
	}

	/** One client, confined to its thread. */
	private final class Client {

		private int host;

		private HostConnection connection;

		Client(int number) {
			this.host = number % RatedClients.this.hosts.size();
		}

		void run() {
			while (!RatedClients.this.stopping) {
				int number = RatedClients.this.next.getAndIncrement();
				long due = RatedClients.this.startNanos
						+ (long) (number / RatedClients.this.jobsPerSecond * TimeUnit.SECONDS.toNanos(1));
				pauseUntil(due);
				if (!RatedClients.this.stopping) {
					Random random = new Random(RatedClients.this.seed * 1_000_003 + number);
					handIn(RatedJob.draw(random), random);
				}
			}
			leave();
		}

		private void handIn(RatedJob job, Random random) {
			for (int i = 0; i < MOST_TRIES && !send(job, random); i++) {
				pauseUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(50 + random.nextInt(400)));
			}
			if (random.nextInt(REPEATED_SHARE) == 0 && RatedClients.this.accepted.containsKey(job.id())) {
				pauseUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(random.nextInt(LATEST_REPEAT_MILLIS)));
				send(job, random);
			}
		}

		private boolean send(RatedJob job, Random random) {
			int code = post(job);
			if (code == OK) {
				RatedClients.this.accepted.put(job.id(), job);
				return true;
			}
			if (code != NO_ANSWER && code != TOO_MANY_REQUESTS && code < FIRST_SERVER_ERROR) {
				RatedClients.this.faults.accept("job " + job.id() + " was answered with " + code);
			}
			if (code == NO_ANSWER || random.nextBoolean()) {
				leave();
			}
			return false;
		}

		private int post(RatedJob job) {
			try {
				if (this.connection == null) {
					this.connection = new HostConnection(RatedClients.this.hosts.get(this.host).ip());
				}
				HostConnection.Response response = this.connection.send("POST",
						"/" + PlatformFake.QUEUE + "/" + job.id(), job.text());
				if (response.isLast()) {
					leave();
				}
				return response.code();
			}
			catch (IOException ex) {
				return NO_ANSWER;
			}
		}

		private void leave() {
			this.host = (this.host + 1) % RatedClients.this.hosts.size();
			if (this.connection != null) {
				this.connection.close();
				this.connection = null;
			}
		}

		private static void pauseUntil(long nanos) {
			for (long left = nanos - System.nanoTime(); left > 0; left = nanos - System.nanoTime()) {
				LockSupport.parkNanos(left);
			}
		}

	}

}
