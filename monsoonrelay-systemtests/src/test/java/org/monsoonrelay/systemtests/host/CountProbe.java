package org.monsoonrelay.systemtests.host;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A client that asks one host over and over how many jobs wait. While the host and the
 * table are calm, an answer has to name at least half of the jobs that were accepted a
 * while before the question and have not begun when the answer is there; a host may
 * refuse to answer. Confined to one thread; its figures may be read once that has ended.
 */
final class CountProbe implements Runnable {

	private static final int OK = 200;

	private static final int REFUSED = 503;

	private static final long INTERVAL_MILLIS = 250;

	/** Jobs that were accepted this long before have to be counted. */
	private static final long COUNTED_MILLIS = 5000;

	/** From this long after a disturbance on, a host or the table is calm. */
	static final long CALM_MILLIS = 3000;

	private static final Pattern PENDING = Pattern.compile("\"pending\":(\\d+)");

	private final SoakHost host;

	private final Supplier<Stream<SoakClient>> clients;

	private final TaskRuns runs;

	private final Disturbances disturbances;

	private final Consumer<String> faults;

	private final Consumer<String> log;

	private volatile boolean stopping;

	private HostConnection connection;

	private int answered;

	private int compared;

	private int refused;

	private int unanswered;

	CountProbe(SoakHost host, Supplier<Stream<SoakClient>> clients, TaskRuns runs, Disturbances disturbances,
			Consumer<String> faults, Consumer<String> log) {
		this.host = host;
		this.clients = clients;
		this.runs = runs;
		this.disturbances = disturbances;
		this.faults = faults;
		this.log = log;
	}

	void stop() {
		this.stopping = true;
	}

	@Override
	public void run() {
		while (!this.stopping) {
			ask();
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS));
		}
		leave();
	}

	private void ask() {
		long sentNanos = System.nanoTime();
		HostConnection.Response response = send();
		long waiting = waitingSince(sentNanos - TimeUnit.MILLISECONDS.toNanos(COUNTED_MILLIS));
		boolean isCalm = isCalmSince(sentNanos - TimeUnit.MILLISECONDS.toNanos(CALM_MILLIS));
		int pending = (response.code() == OK) ? pending(response.body()) : -1;
		String line = "%d %s %s: %d, counted %d of %d, after %d ms".formatted(System.currentTimeMillis(),
				this.host.name(), isCalm ? "calm" : "disturbed", response.code(), pending, waiting,
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos));
		this.log.accept(line);
		if (isCalm) {
			account(response.code(), pending, waiting, line);
		}
	}

	private void account(int code, int pending, long waiting, String line) {
		switch (code) {
			case OK -> {
				this.answered++;
				this.compared += (waiting > 0) ? 1 : 0;
				if (2 * pending < waiting) {
					this.faults.accept("too low: " + line);
				}
			}
			case REFUSED -> this.refused++;
			case 0 -> this.unanswered++;
			default -> this.faults.accept("no such answer is expected: " + line);
		}
	}

	private boolean isCalmSince(long nanos) {
		return this.host.startedNanos() - nanos < 0
				&& this.disturbances.areCalmSince(Set.of(this.host.name(), PathCuts.TABLE), nanos);
	}

	// Asked for once the answer is there, so that none of these had begun before.
	private long waitingSince(long nanos) {
		return this.clients.get()
			.flatMap((client) -> client.acceptedBefore(nanos))
			.filter((job) -> !this.runs.hasBegun(job))
			.count();
	}

	private HostConnection.Response send() {
		try {
			if (this.connection == null) {
				this.connection = new HostConnection(this.host.ip());
			}
			HostConnection.Response response = this.connection.send("GET", "/" + PlatformFake.QUEUE + "/", "");
			if (response.isLast()) {
				leave();
			}
			return response;
		}
		catch (IOException ex) {
			leave();
			return new HostConnection.Response(0, "", true);
		}
	}

	private static int pending(String body) {
		Matcher matcher = PENDING.matcher(body);
		return matcher.find() ? Integer.parseInt(matcher.group(1)) : -1;
	}

	private void leave() {
		if (this.connection != null) {
			this.connection.close();
			this.connection = null;
		}
	}

	/**
	 * What came of the questions in calm moments.
	 * @return a line
	 */
	String figures() {
		return "%s in calm moments: %d answers, %d of them while jobs waited for long, %d refused, %d unanswered"
			.formatted(this.host.name(), this.answered, this.compared, this.refused, this.unanswered);
	}

	int asked() {
		return this.answered + this.refused + this.unanswered;
	}

	int compared() {
		return this.compared;
	}

	int refused() {
		return this.refused;
	}

}
