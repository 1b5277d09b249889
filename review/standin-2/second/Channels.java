package second;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Wide jobs come, then the machine that leads loses power for good: it neither answers
 * nor closes its channels. Nothing else happens. What is accepted has to run.
 */
final class Channels {

	private static final int WIDTH = 64;

	private static final String WIDE = "{\"spec\":\"1000\",\"steps\":[{\"count\":" + WIDTH + ",\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":1000}]}";

	private static final int TASK_PROCESSORS = 500;

	private static final int EXECUTORS = 4;

	private static final int PROCESSORS = 32_000;

	private static final long BUSY_PAUSE_MILLIS = 250;

	private static final long CALM_PAUSE_MILLIS = 700;

	private static final long FINISH_MILLIS = 14_000;

	private static final long WATCH_MILLIS = 20_000;

	private static final long IDLE_MILLIS = 3000;

	private Channels() {
	}

	public static void main(String[] arguments) throws Exception {
		System.exit(run(Path.of(arguments[0]), !"0".equals(System.getenv("TROUBLE"))));
	}

	private static int run(Path recordFile, boolean isTroubled) throws Exception {
		try (Cell cell = new Cell(recordFile, 3, EXECUTORS, PROCESSORS)) {
			if (!cell.start()) {
				cell.record.line("result", "the cell did not start");
				return 2;
			}
			Thread.sleep(4000);
			List<String> accepted = new ArrayList<>();
			String leader = cell.store.lastConditionalWriter();
			Host gateway = cell.other(leader);
			submitFor(cell, gateway, 16_000, BUSY_PAUSE_MILLIS, accepted);
			channels(cell);
			leader = cell.store.lastConditionalWriter();
			if (isTroubled) {
				cell.record.line("cell", leader + " loses power: SIGSTOP, for good");
				cell.host(leader).signal("STOP");
				if (gateway.name().equals(leader)) {
					gateway = cell.other(leader);
				}
			}
			submitFor(cell, gateway, 12_000, CALM_PAUSE_MILLIS, accepted);
			cell.record.line("cell", "the end of the traffic");
			Thread.sleep(FINISH_MILLIS);
			channels(cell);
			Set<String> stuck = new TreeSet<>();
			Map<String, Long> idleSince = new HashMap<>();
			int running = 0;
			long watchedNanos = System.nanoTime();
			while (System.nanoTime() - watchedNanos < WATCH_MILLIS * 1_000_000) {
				long now = System.nanoTime();
				int active = cell.runs.activeCount();
				running = Math.max(running, active);
				boolean isMostFree = 2 * active * TASK_PROCESSORS < EXECUTORS * PROCESSORS;
				for (String id : accepted) {
					if (!isMostFree || cell.runs.isActive(id) || isDone(cell, id)) {
						idleSince.remove(id);
					}
					else if (now - idleSince.computeIfAbsent(id, (job) -> now) >= IDLE_MILLIS * 1_000_000) {
						stuck.add(id);
					}
				}
				Thread.sleep(50);
			}
			channels(cell);
			for (String id : stuck) {
				cell.record.line("LOST", id + " had nothing running for 3 s, is " + cell.client.state(gateway, id));
			}
			cell.record.line("result", accepted.size() + " jobs accepted, " + stuck.size()
					+ " not done with nothing running for 3 s, at most " + running + " tasks at once, room for "
					+ EXECUTORS * PROCESSORS / TASK_PROCESSORS);
			return stuck.isEmpty() ? 0 : 1;
		}
	}

	private static boolean isDone(Cell cell, String id) {
		for (int i = 0; i < WIDTH; i++) {
			if (!cell.runs.isDone(id + ".0.0." + i)) {
				return false;
			}
		}
		return true;
	}

	private static void channels(Cell cell) {
		cell.executors.forEach((executor) -> cell.record.line(executor.id(), executor.channels()));
	}

	private static void submitFor(Cell cell, Host gateway, long millis, long pauseMillis,
			List<String> accepted) throws InterruptedException {
		long endNanos = System.nanoTime() + millis * 1_000_000;
		while (System.nanoTime() - endNanos < 0) {
			String id = String.format("%016x", 0x5c0e_0000_0000_0000L + accepted.size());
			if (cell.client.submit(gateway, id, WIDE) == 200) {
				accepted.add(id);
			}
			Thread.sleep(pauseMillis);
		}
	}

}
