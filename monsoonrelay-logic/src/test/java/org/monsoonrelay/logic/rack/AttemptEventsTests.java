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

	private final List<AttemptEvent> judged = new ArrayList<>();

	private final AttemptEvents events = new AttemptEvents(this.judged::add);

	private final TrackedWorker slot = slot("worker-1");

	AttemptEventsTests() {
		this.slot.setTeam(ATTEMPT, "crew");
		this.slot.setTeam(OTHER, "depot");
	}

	private static TrackedWorker slot(String name) {
		return new TrackedWorker(new Host(name, new HostAddress("127.0.0.1", 1), HostKind.WORKER, "i1", "a", "r1", "",
				HostState.LIVE, new Resources(8, 8192, 0)), 0);
	}

	private AttemptEvent post(AttemptId attempt, AttemptEventKind kind) {
		AttemptEvent event = this.slot.createEvent(attempt, kind);
		this.events.publish(event, this.slot);
		return event;
	}

	@Test
	void waitByTeamUntilTheyAreAcknowledged() {
		AttemptEvent running = post(ATTEMPT, AttemptEventKind.RUNNING);
		AttemptEvent ended = post(OTHER, AttemptEventKind.FINISHED);
		assertThat(this.events.unacknowledgedByTeam()).containsOnlyKeys("crew", "depot");
		this.events.acknowledge(running);
		this.events.acknowledge(ended);
		assertThat(this.events.unacknowledgedByTeam()).isEmpty();
		assertThat(this.events.worker(ATTEMPT)).contains(this.slot);
		assertThat(this.events.worker(OTHER)).isEmpty();
	}

	@Test
	void anEndIsKeptWhateverIsHeardAfterIt() {
		AttemptEvent ended = post(ATTEMPT, AttemptEventKind.FINISHED);
		post(ATTEMPT, AttemptEventKind.RUNNING);
		assertThat(this.events.unacknowledgedByTeam().get("crew")).containsExactly(ended);
	}

	@Test
	void anAcknowledgementOfAnEarlierEventChangesNothing() {
		AttemptEvent running = post(ATTEMPT, AttemptEventKind.RUNNING);
		AttemptEvent ended = post(ATTEMPT, AttemptEventKind.FINISHED);
		this.events.acknowledge(running);
		assertThat(this.events.unacknowledgedByTeam().get("crew")).containsExactly(ended);
	}

	@Test
	void aRepeatedEventIsJudgedOnce() {
		post(ATTEMPT, AttemptEventKind.FINISHED);
		post(ATTEMPT, AttemptEventKind.FINISHED);
		assertThat(this.judged).hasSize(1);
	}

	@Test
	void whatRunsIsPostedAgainForANewOwnerOfItsTeamAlone() {
		this.events.acknowledge(post(ATTEMPT, AttemptEventKind.RUNNING));
		this.events.acknowledge(post(OTHER, AttemptEventKind.RUNNING));
		this.events.republishRunning("crew");
		assertThat(this.events.unacknowledgedByTeam()).containsOnlyKeys("crew");
	}

	@Test
	void allOfAWorkerIsForgottenWithIt() {
		post(ATTEMPT, AttemptEventKind.RUNNING);
		TrackedWorker stays = slot("worker-2");
		stays.setTeam(OTHER, "depot");
		this.events.publish(stays.createEvent(OTHER, AttemptEventKind.RUNNING), stays);
		this.events.removeAllOn(List.of(this.slot));
		assertThat(this.events.unacknowledgedByTeam()).containsOnlyKeys("depot");
		assertThat(this.events.worker(ATTEMPT)).isEmpty();
	}

}
