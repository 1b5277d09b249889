package second;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two of three machines are lost for good. Some seconds later the store turns the last one
 * away for a moment, by no answer to one write, which it has done, and 503 to the next
 * one. From then on everything is sound. What is accepted has to run.
 */
final class Orphaned {

	private static final String JOB = "{\"spec\":\"1000\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":1000}]}";

	private static final long FINISH_MILLIS = 14_000;

	private static final long IDLE_MILLIS = 3000;

	private Orphaned() {
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
			submitFor(cell, 5000, accepted);
			Host leader = cell.host(cell.store.lastConditionalWriter());
			Host left = cell.other(leader.name());
			for (Host host : cell.hosts) {
				if (host != left) {
					cell.record.line("cell", "SIGKILL to " + host.name() + ", which does not come back");
					host.signal("KILL");
				}
			}
			submitFor(cell, 6000, accepted);
			if (isTroubled) {
				String last = cell.store.lastConditionalWriter();
				AtomicInteger writes = new AtomicInteger();
				cell.record.line("store", "turns " + last + " away for two writes");
				cell.store.trouble((machine, part, keys) -> !part.equals("pool") ? Store.Fate.SERVED
						: switch (writes.getAndIncrement()) {
							case 0 -> Store.Fate.DONE_WITHOUT_ANSWER;
							case 1 -> Store.Fate.REFUSED;
							default -> Store.Fate.SERVED;
						});
			}
			submitFor(cell, 12_000, accepted);
			cell.record.line("cell", "the end of the traffic");
			Thread.sleep(FINISH_MILLIS);
			int startedBefore = cell.runs.started();
			long idleSinceNanos = System.nanoTime();
			int running = 0;
			while (System.nanoTime() - idleSinceNanos < IDLE_MILLIS * 1_000_000) {
				running = Math.max(running, cell.runs.activeCount());
				Thread.sleep(50);
			}
			List<String> waiting = new ArrayList<>();
			List<String> unanswered = new ArrayList<>();
			for (String id : accepted) {
				String state = cell.client.state(left, id);
				cell.record.line("client", id + " is " + state);
				if (!List.of("queued", "running", "completed").contains(state)) {
					unanswered.add(id);
				}
				else if (!state.equals("completed")) {
					waiting.add(id);
				}
			}
			boolean isIdle = running == 0 && cell.runs.started() == startedBefore;
			cell.record.line("result",
					accepted.size() + " jobs accepted, " + waiting.size() + " wait, " + unanswered.size()
							+ " not known, " + (isIdle ? "nothing runs for 3 s on empty executors" : "work goes on"));
			return (!unanswered.isEmpty() || (isIdle && !waiting.isEmpty())) ? 1 : 0;
		}
	}

	private static void submitFor(Cell cell, long millis, List<String> accepted) throws InterruptedException {
		long endNanos = System.nanoTime() + millis * 1_000_000;
		while (System.nanoTime() - endNanos < 0) {
			Host host = cell.hosts.stream().filter(Host::isAlive).findFirst().orElseThrow();
			String id = String.format("%016x", 0x5c0e_0000_0000_0000L + accepted.size());
			if (cell.client.submit(host, id, JOB) == 200) {
				accepted.add(id);
			}
			Thread.sleep(400);
		}
	}

}
