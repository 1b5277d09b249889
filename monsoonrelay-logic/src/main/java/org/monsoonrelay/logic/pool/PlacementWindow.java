package org.monsoonrelay.logic.pool;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;

import org.monsoonrelay.model.submission.StepKey;
import org.monsoonrelay.model.submission.Submission;

/**
 * Selects the steps that a placement pass considers, so that its cost depends on what
 * runs and can start instead of on what waits. Of a long queue these are the first steps
 * of each group, those with new eligibility, and a few others in turn. Steps of a group
 * compete for the same workers and the same share of them; the first steps of one do not
 * hide those of another. Invariants: a short queue is considered as a whole; the first
 * steps of each group are the first ones in queue order; each waiting step is considered
 * again after a number of passes in proportion to the length of the queue. Not
 * thread-safe: confined to the control thread.
 */
final class PlacementWindow implements OpenStepListener {

	/** Open steps up to which the queue is considered as a whole. */
	static final int MAX_FRONT_STEPS = 512;

	/** Steps behind the first ones that are considered in each pass of a long queue. */
	static final int MAX_STEPS_BEHIND = 64;

	private static final int MIN_GROUP_STEPS = 8;

	private final JobRegistry jobs;

	private final QueueOrder order;

	private final Map<Group, NavigableMap<QueuePosition, ActiveStep>> waiting = new LinkedHashMap<>();

	private final Map<StepKey, QueuePosition> positions = new HashMap<>();

	// Steps all of whose tasks had runs or were done when they were last considered.
	private final Set<ActiveStep> running = new LinkedHashSet<>();

	// All open steps, those first that were not considered in turn for the longest time.
	private final Set<ActiveStep> rotation = new LinkedHashSet<>();

	private final Set<StepKey> answered = new LinkedHashSet<>();

	private Collection<ActiveStep> former = List.of();

	PlacementWindow(JobRegistry jobs, QueueOrder order) {
		this.jobs = jobs;
		this.order = order;
	}

	@Override
	public void opened(ActiveStep step) {
		this.rotation.add(step);
		enqueue(step, step.queueEntry().readyMillis());
	}

	@Override
	public void closed(ActiveStep step) {
		this.rotation.remove(step);
		this.running.remove(step);
		dequeue(step);
	}

	/**
	 * Makes the next pass consider a step whose eligible workers or tickets have changed.
	 * @param step the step
	 */
	void eligibilityAnswered(StepKey step) {
		this.answered.add(step);
	}

	private void enqueue(ActiveStep step, long nowMillis) {
		QueuePosition position = this.order.positionOf(step.queueEntry(), nowMillis);
		this.positions.put(step.key(), position);
		this.waiting.computeIfAbsent(groupOf(step), (group) -> new TreeMap<>()).put(position, step);
	}

	private void dequeue(ActiveStep step) {
		QueuePosition position = this.positions.remove(step.key());
		if (position != null) {
			this.waiting.computeIfPresent(groupOf(step), (group, steps) -> {
				steps.remove(position);
				return steps.isEmpty() ? null : steps;
			});
		}
	}

	private Group groupOf(ActiveStep step) {
		Submission submission = step.job().submission();
		return new Group(submission.policy().queue(), submission.customer(), step.spec().requiredLabel(),
				this.jobs.isInherited(submission.id()));
	}

	/**
	 * Selects the steps of a pass.
	 * @param nowMillis the current time, epoch milliseconds
	 * @return the steps
	 */
	Selection select(long nowMillis) {
		if (this.jobs.openSteps().size() <= MAX_FRONT_STEPS) {
			this.answered.clear();
			this.former = this.jobs.openSteps();
			return new Selection(this.jobs.openSteps(), Set.of(), Set.of());
		}
		List<ActiveStep> stopped = this.running.stream().filter(ActiveStep::hasTasksWithoutRun).toList();
		stopped.forEach((step) -> {
			this.running.remove(step);
			enqueue(step, nowMillis);
		});
		Set<ActiveStep> front = new LinkedHashSet<>();
		int budget = Math.max(MAX_FRONT_STEPS, this.running.size());
		List<NavigableMap<QueuePosition, ActiveStep>> groups = new ArrayList<>(this.waiting.values());
		groups.sort(Comparator.comparingInt(NavigableMap::size));
		int groupsLeft = groups.size();
		for (NavigableMap<QueuePosition, ActiveStep> group : groups) {
			List<ActiveStep> first = first(group, Math.max(MIN_GROUP_STEPS, budget / groupsLeft), nowMillis);
			front.addAll(first);
			budget = Math.max(0, budget - first.size());
			groupsLeft--;
		}
		this.waiting.values().removeIf(Map::isEmpty);
		front.addAll(this.running);
		Set<ActiveStep> behind = stepsBehind(front);
		Set<ActiveStep> selected = new LinkedHashSet<>(front);
		selected.addAll(behind);
		Set<ActiveStep> passedOver = new LinkedHashSet<>(this.former);
		passedOver.removeAll(selected);
		this.former = selected;
		return new Selection(selected, behind,
				passedOver.stream().map(ActiveStep::key).collect(Collectors.toUnmodifiableSet()));
	}

	// Positions only become larger, so that those that are outdated come up here.
	private List<ActiveStep> first(NavigableMap<QueuePosition, ActiveStep> group, int maximum, long nowMillis) {
		while (true) {
			List<ActiveStep> first = new ArrayList<>();
			List<ActiveStep> moved = new ArrayList<>();
			Iterator<Map.Entry<QueuePosition, ActiveStep>> steps = group.entrySet().iterator();
			while (steps.hasNext() && first.size() < maximum) {
				Map.Entry<QueuePosition, ActiveStep> entry = steps.next();
				ActiveStep step = entry.getValue();
				boolean isWaiting = step.hasTasksWithoutRun();
				if (isWaiting && entry.getKey().equals(this.order.positionOf(step.queueEntry(), nowMillis))) {
					first.add(step);
					continue;
				}
				steps.remove();
				this.positions.remove(step.key());
				if (isWaiting) {
					moved.add(step);
				}
				else {
					this.running.add(step);
				}
			}
			if (moved.isEmpty()) {
				return first;
			}
			for (ActiveStep step : moved) {
				QueuePosition position = this.order.positionOf(step.queueEntry(), nowMillis);
				this.positions.put(step.key(), position);
				group.put(position, step);
			}
		}
	}

	private Set<ActiveStep> stepsBehind(Set<ActiveStep> front) {
		Set<ActiveStep> behind = new LinkedHashSet<>();
		this.answered
			.forEach((key) -> this.jobs.step(key).filter((step) -> !front.contains(step)).ifPresent(behind::add));
		this.answered.clear();
		for (ActiveStep step : this.rotation.stream().limit(MAX_STEPS_BEHIND).toList()) {
			this.rotation.remove(step);
			this.rotation.add(step);
			if (!front.contains(step)) {
				behind.add(step);
			}
		}
		return behind;
	}

	/**
	 * The steps of a pass. Immutable while the pass lasts.
	 *
	 * @param steps all of them
	 * @param behind those that start only if there is room that the first ones cannot use
	 * @param passedOver the steps of the pass before that this one does not consider
	 */
	record Selection(Collection<ActiveStep> steps, Set<ActiveStep> behind, Set<StepKey> passedOver) {

	}

	/** Steps that compete for the same workers. */
	private record Group(String queue, String customer, String label, boolean inherited) {

	}

}
