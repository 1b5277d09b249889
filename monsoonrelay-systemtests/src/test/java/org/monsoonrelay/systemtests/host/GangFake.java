package org.monsoonrelay.systemtests.host;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Gangs over all workers. Invariants: members are done together, a while after the last
 * one is present; one that waits too long ends alone; when one ends otherwise the others
 * are broken. Ends are told on the timer, without a lock held. Thread-safe.
 */
final class GangFake {

	private static final long WAIT_MILLIS = 3000;

	private final ScheduledExecutorService timer;

	private final Map<String, Map<String, Consumer<String>>> members = new HashMap<>();

	private final Set<String> over = new HashSet<>();

	GangFake(ScheduledExecutorService timer) {
		this.timer = timer;
	}

	private static String gang(String task, int attempt) {
		return task.substring(0, task.lastIndexOf('.')) + '#' + attempt;
	}

	/**
	 * Add a member.
	 * @param task the member's task
	 * @param attempt its attempt, which is the gang's
	 * @param size how many members the gang has
	 * @param workMillis how long it works once all are present
	 * @param end told once how the member ends
	 */
	synchronized void join(String task, int attempt, int size, long workMillis, Consumer<String> end) {
		String gang = gang(task, attempt);
		if (this.over.contains(gang)) {
			this.timer.execute(() -> end.accept("alone"));
			return;
		}
		Map<String, Consumer<String>> present = this.members.computeIfAbsent(gang, (name) -> new HashMap<>());
		if (present.isEmpty()) {
			this.timer.schedule(() -> giveUp(gang, size), WAIT_MILLIS, TimeUnit.MILLISECONDS);
		}
		present.put(task, end);
		if (present.size() == size) {
			this.timer.schedule(() -> end(gang, "done"), workMillis, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * End the others because a member was stopped.
	 * @param task the member's task
	 * @param attempt its attempt
	 */
	synchronized void stopped(String task, int attempt) {
		String gang = gang(task, attempt);
		Optional.ofNullable(this.members.get(gang)).ifPresent((present) -> present.remove(task));
		this.timer.execute(() -> end(gang, "broken"));
	}

	private void giveUp(String gang, int size) {
		synchronized (this) {
			if (this.members.getOrDefault(gang, Map.of()).size() == size) {
				return;
			}
		}
		end(gang, "alone");
	}

	private void end(String gang, String how) {
		List<Consumer<String>> ends;
		synchronized (this) {
			this.over.add(gang);
			Map<String, Consumer<String>> present = this.members.remove(gang);
			ends = (present != null) ? new ArrayList<>(present.values()) : List.of();
		}
		ends.forEach((end) -> end.accept(how));
	}

}
