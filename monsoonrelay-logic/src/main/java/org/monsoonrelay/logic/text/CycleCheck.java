package org.monsoonrelay.logic.text;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;

/**
 * Finds dependency cycles by an iterative depth-first search, in time linear in the
 * number of dependencies. Not thread-safe; one instance checks one text.
 */
final class CycleCheck {

	private final Map<String, List<String>> dependencies;

	private final Set<String> visited = new HashSet<>();

	private final Deque<Visit> path = new ArrayDeque<>();

	private final Set<String> onPath = new HashSet<>();

	CycleCheck(Map<String, List<String>> dependencies) {
		this.dependencies = dependencies;
	}

	/**
	 * Report each dependency that closes a cycle.
	 * @param found called with the dependency and the names on the cycle
	 */
	void forEach(BiConsumer<Dependency, String> found) {
		this.dependencies.keySet().forEach((name) -> {
			push(name);
			while (!this.path.isEmpty()) {
				step(found);
			}
		});
	}

	private void push(String name) {
		if (!this.visited.contains(name)) {
			this.path.addLast(new Visit(name));
			this.onPath.add(name);
		}
	}

	private void step(BiConsumer<Dependency, String> found) {
		Visit visit = this.path.getLast();
		List<String> dependsOn = this.dependencies.getOrDefault(visit.name, List.of());
		if (visit.next == dependsOn.size()) {
			this.path.removeLast();
			this.onPath.remove(visit.name);
			this.visited.add(visit.name);
			return;
		}
		int index = visit.next++;
		String next = dependsOn.get(index);
		if (this.onPath.contains(next)) {
			found.accept(new Dependency(visit.name, index), cyclePath(next));
		}
		else {
			push(next);
		}
	}

	private String cyclePath(String start) {
		List<String> names = new ArrayList<>(this.path.stream().map((visit) -> visit.name).toList());
		return names.subList(names.indexOf(start), names.size())
			.stream()
			.collect(Collectors.joining(" -> ", "", " -> " + start));
	}

	/**
	 * One declared dependency.
	 *
	 * @param name the workload that declares it
	 * @param index its index among the workload's dependencies
	 */
	record Dependency(String name, int index) {

	}

	private static final class Visit {

		private final String name;

		private int next;

		Visit(String name) {
			this.name = name;
		}

	}

}
