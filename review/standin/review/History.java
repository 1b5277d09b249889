package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * All processes of the system are killed after it has worked for some hours. The jobs of
 * these hours stand in the store as the system writes them: the rows of one job that was
 * done are copied under other ids, with versions from before.
 */
final class History {

	/** Jobs of the past: three hours at 37 jobs a second. */
	private static final int PAST_JOBS = Integer.getInteger("past.jobs", 400_000);

	private static final int PARTITIONS = 32;

	private static final long DOWN_MILLIS = 1000;

	/** recovery_s of the small sheets. */
	private static final double RECOVERY_SECONDS = 12;

	private static final int JOBS_PER_SECOND = 5;

	private static final int TASKS = 2;

	private History() {
	}

	public static void main(String[] arguments) {
		System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
		Cell.run(arguments, 3, 8, 16_000, false, History::play);
	}

	private static List<String> play(Cell cell) throws Exception {
		String model = Client.newId();
		if (!cell.client.submit(model, Cell.job(4, 500, 200), true) || !cell.awaitState(model, "completed", 10)) {
			throw new IllegalStateException("the model job is not done");
		}
		Thread.sleep(500);
		addPast(cell, model);
		send(cell, "before", 5);
		if (Cell.hasTrouble()) {
			cell.hosts.forEach((host) -> host.kill(DOWN_MILLIS));
		}
		double back = cell.record.seconds() + DOWN_MILLIS / 1000.0;
		while (cell.record.seconds() < back + RECOVERY_SECONDS) {
			Thread.sleep(100);
		}
		Map<String, Integer> jobs = send(cell, "later than recovery_s after the kill", 20);
		List<String> broken = Finish.lost(cell, jobs);
		cell.record.tell("case", "processes that ended by themselves: "
				+ cell.hosts.stream().mapToInt(Host::ownEnds).sum());
		return broken;
	}

	// Sends five jobs a second, each on a thread of its own, and returns those accepted.
	private static Map<String, Integer> send(Cell cell, String when, int seconds) throws InterruptedException {
		Map<String, Integer> accepted = new ConcurrentHashMap<>();
		List<Thread> clients = new ArrayList<>();
		for (int i = 0; i < seconds * JOBS_PER_SECOND; i++) {
			Thread client = new Thread(() -> {
				String id = Client.newId();
				try {
					if (cell.client.submit(id, Cell.job(TASKS, 500, 200), true)) {
						accepted.put(id, TASKS);
					}
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			});
			clients.add(client);
			client.start();
			Thread.sleep(1000 / JOBS_PER_SECOND);
		}
		for (Thread client : clients) {
			client.join();
		}
		cell.record.tell("case", "jobs sent " + when + ": " + clients.size() + ", accepted: " + accepted.size());
		return accepted;
	}

	private static void addPast(Cell cell, String model) throws Exception {
		Map<String, JsonNode> rows = new LinkedHashMap<>();
		for (String[] name : new String[][] { { "jobs", partition(model) }, { "progress", "pool" },
				{ "states", "pool" } }) {
			rows.put(name[0], cell.table.value(name[0], name[1], model));
			cell.record.tell("store", "row of " + name[0] + " in " + name[1] + ": " + rows.get(name[0]));
		}
		ThreadLocalRandom random = ThreadLocalRandom.current();
		String progress = encode(rows.get("progress"));
		String state = encode(rows.get("states"));
		for (int i = 0; i < PAST_JOBS; i++) {
			String id = "%016x".formatted(random.nextLong());
			String job = encode(((ObjectNode) rows.get("jobs")).put("id", id));
			cell.table.putPast("jobs", partition(id), id, job, 1000 + 10L * i);
			cell.table.putPast("progress", "pool", id, progress, 1005 + 10L * i);
			cell.table.putPast("states", "pool", id, state, 1005 + 10L * i);
		}
		cell.record.tell("store", "has the rows of " + PAST_JOBS + " jobs of the past");
	}

	private static String encode(JsonNode row) {
		return Base64.getEncoder().encodeToString(row.toString().getBytes(StandardCharsets.UTF_8));
	}

	// The partition in which the system stores a job.
	private static String partition(String job) {
		return "jobs-" + Math.floorMod(job.hashCode(), PARTITIONS);
	}

}
