package second;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * Answers of the store to the writes of each third job are lost for a while, and these
 * writes are done some seconds later. A client that is told 504, and waits no longer,
 * cancels its job and is told 410. Its tasks must not run on.
 */
final class Withdrawn {

	private static final String JOB = "{\"spec\":\"30000\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":30000}]}";

	private static final int JOBS = 9;

	private static final long LOST_MILLIS = 4500;

	private static final long CANCEL_MILLIS = 3000;

	private static final long STOP_MILLIS = 900;

	private static final long CONTACT_MILLIS = 3000;

	private Withdrawn() {
	}

	public static void main(String[] arguments) throws Exception {
		System.exit(run(Path.of(arguments[0]), !"0".equals(System.getenv("TROUBLE"))));
	}

	private static int run(Path recordFile, boolean isTroubled) throws Exception {
		try (Cell cell = new Cell(recordFile, 3, 4, 16_000)) {
			if (!cell.start()) {
				cell.record.line("result", "the cell did not start");
				return 2;
			}
			Thread.sleep(4000);
			if (isTroubled) {
				cell.record.line("store", "loses the answers to the writes of each third job for 4.5 s");
				long startNanos = System.nanoTime();
				cell.store.trouble((machine, part, keys) -> isLost(keys) && millisSince(startNanos) < LOST_MILLIS
						? Store.Fate.DONE_LATE : Store.Fate.SERVED);
			}
			Map<String, Integer> submitted = new HashMap<>();
			Map<String, Long> withdrawn = new HashMap<>();
			ExecutorService clients = Executors.newCachedThreadPool();
			for (int i = 0; i < JOBS; i++) {
				int number = i;
				clients.execute(() -> {
					String id = String.format("%016x", 0x5c0e_0000_0000_0000L + number);
					Host host = cell.hosts.get(number % 3);
					int code = cell.client.submit(host, id, JOB);
					// A client that waits no longer cancels; one whose job is accepted does
					// so too, after a while.
					if (code == 200) {
						sleep(1000);
					}
					int answer = cell.client.cancel(cell.hosts.get((number + 1) % 3), id);
					synchronized (submitted) {
						submitted.put(id, code);
						if (answer == 410 || (answer >= 200 && answer < 300)) {
							withdrawn.put(id, System.nanoTime());
						}
					}
				});
				Thread.sleep(100);
			}
			Thread.sleep(6000 + LOST_MILLIS + CONTACT_MILLIS + CANCEL_MILLIS + STOP_MILLIS);
			List<String> running = new ArrayList<>();
			synchronized (submitted) {
				for (String id : withdrawn.keySet()) {
					cell.record.line("client", id + " is " + cell.client.state(cell.hosts.get(0), id));
					long millis = millisSince(withdrawn.get(id));
					if (millis > CANCEL_MILLIS + STOP_MILLIS && cell.runs.isActive(id)) {
						running.add(id);
						cell.record.line("UNASKED",
								id + " was cancelled " + millis + " ms ago, and its tasks run on");
					}
				}
				cell.record.line("result", submitted + " submitted, " + withdrawn.size() + " cancelled, "
						+ running.size() + " of these run on");
			}
			clients.shutdownNow();
			return running.isEmpty() ? 0 : 1;
		}
	}

	private static boolean isLost(String keys) {
		return keys.matches("\\[jobs/5c0e0000000000(00|03|06)\\]");
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static long millisSince(long nanos) {
		return (System.nanoTime() - nanos) / 1_000_000;
	}

}
