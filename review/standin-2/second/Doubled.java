package second;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store turns the machine that leads away for a moment, by no answer to one write,
 * which it has done, and 503 to the next one, several times. Later that machine is
 * stopped by plan. What was done and taken note of must not be started again.
 */
final class Doubled {

	private static final int ROUNDS = 2;

	private static final long ROUND_MILLIS = 11_500;

	private static final String JOB = "{\"spec\":\"2500\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":2500}]}";

	private Doubled() {
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
			Thread.sleep(3000);
			List<String> accepted = new ArrayList<>();
			long startNanos = System.nanoTime();
			int round = 0;
			while (millisSince(startNanos) < ROUNDS * ROUND_MILLIS + 4000) {
				String leader = cell.store.lastConditionalWriter();
				if (isTroubled && millisSince(startNanos) >= round * ROUND_MILLIS + 10_000 && round < ROUNDS) {
					round++;
					turnAway(cell, leader);
				}
				String id = String.format("%016x", 0x5c0e_0000_0000_0000L + accepted.size());
				if (cell.client.submit(cell.other(leader), id, JOB) == 200) {
					accepted.add(id);
				}
				Thread.sleep(900);
			}
			cell.store.trouble((machine, part, keys) -> Store.Fate.SERVED);
			Thread.sleep(5000);
			String leader = cell.store.lastConditionalWriter();
			for (String id : accepted) {
				cell.record.line("client", id + " is " + cell.client.state(cell.other(leader), id));
			}
			cell.record.line("cell", "SIGTERM to " + leader);
			Host stopped = cell.host(leader);
			stopped.signal("TERM");
			stopped.awaitEnd(7000);
			Thread.sleep(10_000);
			for (String id : accepted) {
				cell.record.line("client", id + " is " + cell.client.state(cell.other(leader), id));
			}
			List<String> breaks = cell.runs.breaks();
			cell.record.line("result", accepted.size() + " jobs accepted, " + cell.runs.started() + " starts, "
					+ breaks.size() + " breaks of TWICE");
			return breaks.isEmpty() ? 0 : 1;
		}
	}

	private static void turnAway(Cell cell, String leader) {
		AtomicInteger writes = new AtomicInteger();
		cell.record.line("store", "turns " + leader + " away for two writes");
		cell.store.trouble((machine, part, keys) -> {
			if (!machine.equals(leader)) {
				return Store.Fate.SERVED;
			}
			return switch (writes.getAndIncrement()) {
				case 0 -> Store.Fate.DONE_WITHOUT_ANSWER;
				case 1 -> Store.Fate.REFUSED;
				default -> Store.Fate.SERVED;
			};
		});
	}

	private static long millisSince(long nanos) {
		return (System.nanoTime() - nanos) / 1_000_000;
	}

}
