package org.monsoonrelay.logic.rack;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.monsoonrelay.logic.placement.AttemptEvent;
import org.monsoonrelay.logic.placement.AttemptEventKind;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostKind;
import org.monsoonrelay.model.host.HostState;
import org.monsoonrelay.model.job.AttemptId;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptEventsTests {

	private static final AttemptId ATTEMPT = AttemptId.parse("roster@1/0/1");

	private static final AttemptId OTHER = AttemptId.parse("roster@1/1/1");

	private final List<AttemptEvent> newEvents = new ArrayList<>();

	private final AttemptEvents events = new AttemptEvents(this.newEvents::add);

	private final TrackedWorker worker = createWorker("worker-1");

	AttemptEventsTests() {
		this.worker.setTeam(ATTEMPT, "crew");
		this.worker.setTeam(OTHER, "depot");
	}

	private static TrackedWorker createWorker(String name) {
		return new TrackedWorker(new Host(name, new HostAddress("127.0.0.1", 1), HostKind.WORKER, "i1", "a", "r1", "",
				HostState.LIVE, new Resources(8, 8192, 0)), 0);
	}

	private AttemptEvent publish(AttemptId attempt, AttemptEventKind kind) {
		AttemptEvent event = this.worker.createEvent(attempt, kind);
		this.events.publish(event, this.worker);
		return event;
	}

	@Test
	void areKeptByTeamUntilTheyAreAcknowledged() {
		AttemptEvent running = publish(ATTEMPT, AttemptEventKind.RUNNING);
		AttemptEvent ended = publish(OTHER, AttemptEventKind.FINISHED);
		assertThat(this.events.unacknowledgedByTeam()).containsOnlyKeys("crew", "depot");
		this.events.acknowledge(running);
		this.events.acknowledge(ended);
		assertThat(this.events.unacknowledgedByTeam()).isEmpty();
		assertThat(this.events.worker(ATTEMPT)).contains(this.worker);
		assertThat(this.events.worker(OTHER)).isEmpty();
	}

	@Test
	void anUnacknowledgedEndIsNotReplacedByALaterRunningEvent() {
		AttemptEvent ended = publish(ATTEMPT, AttemptEventKind.FINISHED);
		publish(ATTEMPT, AttemptEventKind.RUNNING);
		assertThat(this.events.unacknowledgedByTeam().get("crew")).containsExactly(ended);
	}

	@Test
	void anAcknowledgementOfAReplacedEventIsIgnored() {
		AttemptEvent running = publish(ATTEMPT, AttemptEventKind.RUNNING);
		AttemptEvent ended = publish(ATTEMPT, AttemptEventKind.FINISHED);
		this.events.acknowledge(running);
		assertThat(this.events.unacknowledgedByTeam().get("crew")).containsExactly(ended);
	}

	@Test
	void aRepeatedEventIsPassedToTheListenerOnce() {
		publish(ATTEMPT, AttemptEventKind.FINISHED);
		publish(ATTEMPT, AttemptEventKind.FINISHED);
		assertThat(this.newEvents).hasSize(1);
	}

	@Test
	void runningAttemptsAreRepublishedForTheirTeamOnly() {
		this.events.acknowledge(publish(ATTEMPT, AttemptEventKind.RUNNING));
		this.events.acknowledge(publish(OTHER, AttemptEventKind.RUNNING));
		this.events.republishRunning("crew");
		assertThat(this.events.unacknowledgedByTeam()).containsOnlyKeys("crew");
	}

	@Test
	void attemptsOfARemovedWorkerAreRemoved() {
		publish(ATTEMPT, AttemptEventKind.RUNNING);
		TrackedWorker remaining = createWorker("worker-2");
		remaining.setTeam(OTHER, "depot");
		this.events.publish(remaining.createEvent(OTHER, AttemptEventKind.RUNNING), remaining);
		this.events.removeAllOn(List.of(this.worker));
		assertThat(this.events.unacknowledgedByTeam()).containsOnlyKeys("depot");
		assertThat(this.events.worker(ATTEMPT)).isEmpty();
	}

}
