package org.monsoonrelay.gateway.jobs;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.monsoonrelay.adapters.peer.PeerIdentity;
import org.monsoonrelay.adapters.peer.PeerNetwork;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Empty;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.JobNews;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.OwnerHeartbeat;
import org.monsoonrelay.adapters.peer.generated.PeerMessages.StatesNews;
import org.monsoonrelay.logic.events.DecisionLog;
import org.monsoonrelay.logic.platform.PartitionCommit;
import org.monsoonrelay.logic.platform.PartitionWrite;
import org.monsoonrelay.logic.platform.PartitionedTable;
import org.monsoonrelay.logic.platform.TableChanges;
import org.monsoonrelay.logic.platform.TablePage;
import org.monsoonrelay.logic.platform.UnreadableRows;
import org.monsoonrelay.logic.submission.JobStates;
import org.monsoonrelay.model.capacity.Resources;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.submission.QueuePolicy;
import org.monsoonrelay.model.submission.StepSpec;
import org.monsoonrelay.model.submission.Submission;
import org.monsoonrelay.model.submission.SubmissionState;
import org.monsoonrelay.model.submission.Timetable;

import static org.assertj.core.api.Assertions.assertThat;

class OwnerLinkTests {

	private static final String SECRET = "secret";

	private static final PeerIdentity OWNER = new PeerIdentity("o", "scheduler", "z", freeAddress());

	private static final PeerIdentity SELF = new PeerIdentity("g", "gateway", "z", freeAddress());

	private final BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();

	private final PeerNetwork owner = new PeerNetwork(OWNER, SECRET, (from, message) -> {
		if (message.hasCommitRequest()) {
			return OwnerLink.handleCommitRequest(message.getCommitRequest(), this.table);
		}
		this.received.add(message);
		return CompletableFuture.completedFuture(Envelope.newBuilder().setEmpty(Empty.getDefaultInstance()));
	});

	private final JobStates states = new JobStates(new UnreadableRows(DecisionLog.NONE), System::nanoTime);

	private PartitionCommit outcome = new PartitionCommit.Committed(9);

	private final PartitionedTable table = new PartitionedTable() {

		@Override
		public CompletableFuture<PartitionCommit> commit(PartitionWrite write) {
			OwnerLinkTests.this.written.add(write);
			return CompletableFuture.completedFuture(OwnerLinkTests.this.outcome);
		}

		@Override
		public CompletableFuture<TablePage> read(String name, String partition, String from, int limit) {
			throw new UnsupportedOperationException("not used");
		}

		@Override
		public CompletableFuture<TableChanges> changes(String name, long after, Duration wait) {
			throw new UnsupportedOperationException("not used");
		}

	};

	private final List<PartitionWrite> written = new CopyOnWriteArrayList<>();

	private long nowNanos;

	private int ownerWrites;

	private final PeerNetwork network = new PeerNetwork(SELF, SECRET,
			(from, message) -> CompletableFuture.completedFuture(Envelope.newBuilder()));

	private final OwnerLink link = new OwnerLink(SELF.address(), this.network, this.states, () -> this.nowNanos,
			DecisionLog.NONE, () -> this.ownerWrites++);

	// An address that other processes do not use: a free port at 127.0.0.1 may be taken
	// by any
	// outgoing connection before the test listens at it.
	private static HostAddress freeAddress() {
		long pid = ProcessHandle.current().pid();
		String address = "127.%d.%d.1".formatted(1 + pid % 250, pid / 250 % 250);
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
			return new HostAddress(address, socket.getLocalPort());
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static Submission job(String id) {
		StepSpec step = new StepSpec(1, new Resources(1000, 100, 0), 500, List.of(), false, false, "", "", 0, false,
				false, false, false);
		return new Submission(id, new QueuePolicy("q", "s", 0, 3, 2, 500, null), "text", List.of(step),
				Timetable.AT_ONCE, 0);
	}

	private void receiveHeartbeat(long epoch) {
		receiveHeartbeat(epoch, 0);
	}

	private void receiveHeartbeat(long epoch, long version) {
		OwnerHeartbeat heartbeat = OwnerHeartbeat.newBuilder()
			.setEpoch(epoch)
			.setVersion(version)
			.setAddress(OWNER.address().toString())
			.build();
		this.link.handleNotification(Envelope.newBuilder().setOwnerHeartbeat(heartbeat).build());
	}

	@BeforeEach
	void listen() {
		this.owner.listen();
		this.network.listen();
	}

	@AfterEach
	void close() {
		this.network.close();
		this.owner.close();
	}

	@Test
	void jobsAndCancellationsAreSentToTheOwnerWithARecentHeartbeat() throws InterruptedException {
		receiveHeartbeat(3);
		this.link.jobAccepted(job("a"), 17);
		Envelope accepted = this.received.poll(10, TimeUnit.SECONDS);
		assertThat(accepted.getJobAccepted().getVersion()).isEqualTo(17);
		assertThat(accepted.getJobAccepted().getSubmissionJson()).contains("\"a\"");
		this.link.jobCancelled("a");
		assertThat(this.received.poll(10, TimeUnit.SECONDS).getJobCancelled().getJob()).isEqualTo("a");
	}

	@Test
	void anUnresponsiveOwnerIsSentNothing() throws InterruptedException {
		assertThat(this.link.isOwnerResponsive()).isFalse();
		receiveHeartbeat(3);
		assertThat(this.link.isOwnerResponsive()).isTrue();
		this.nowNanos += TimeUnit.SECONDS.toNanos(1);
		assertThat(this.link.isOwnerResponsive()).isFalse();
		this.link.jobAccepted(job("late"), 1);
		receiveHeartbeat(3);
		this.link.jobAccepted(job("a"), 2);
		assertThat(this.received.poll(10, TimeUnit.SECONDS).getJobAccepted().getVersion()).isEqualTo(2);
	}

	@Test
	void onlyANewVersionOfTheOwnerRowCountsAsAWrite() {
		receiveHeartbeat(3, 17);
		receiveHeartbeat(3, 17);
		assertThat(this.ownerWrites).isEqualTo(1);
		receiveHeartbeat(3, 18);
		assertThat(this.ownerWrites).isEqualTo(2);
	}

	@Test
	void aWriteIsExecutedUnchangedByTheOwner() {
		PartitionWrite write = PartitionWrite.to("jobs-1").onVersion("jobs", "a", 0).put("jobs", "a", "{}");
		assertThat(this.link.relay(write)).isEmpty();
		receiveHeartbeat(3);
		assertThat(this.link.relay(write).orElseThrow().join()).isEqualTo(new PartitionCommit.Committed(9));
		assertThat(this.written).containsExactly(write);
		this.outcome = new PartitionCommit.NotDone("busy");
		assertThat(this.link.relay(write).orElseThrow().join()).isEqualTo(this.outcome);
		this.outcome = new PartitionCommit.Rejected("a row is too large");
		assertThat(this.link.relay(write).orElseThrow().join()).isEqualTo(this.outcome);
		this.outcome = new PartitionCommit.Conflict(List.of());
		assertThat(this.link.relay(write).orElseThrow().join()).isEqualTo(this.outcome);
		this.outcome = new PartitionCommit.Unknown("no answer");
		assertThat(this.link.relay(write).orElseThrow().join()).isEqualTo(this.outcome);
	}

	@Test
	void aWriteThroughAClosedOwnerIsUnknown() {
		receiveHeartbeat(3);
		this.owner.close();
		PartitionWrite write = PartitionWrite.to("jobs-1").put("jobs", "a", "{}");
		assertThat(this.link.relay(write).orElseThrow().join()).isInstanceOf(PartitionCommit.Unknown.class);
	}

	@Test
	void heartbeatsOfAFormerOwnerAreIgnored() {
		receiveHeartbeat(3);
		this.nowNanos += TimeUnit.SECONDS.toNanos(1);
		receiveHeartbeat(2);
		assertThat(this.link.isOwnerResponsive()).isFalse();
	}

	@Test
	void statesSentByTheOwnerAreKnownToTheGateway() {
		StatesNews news = StatesNews.newBuilder()
			.setEpoch(3)
			.addJobs(JobNews.newBuilder().setJob("a").setState("COMPLETED"))
			.setCountedVersion(7)
			.putPending("q", 2)
			.build();
		assertThat(this.link.handleNotification(Envelope.newBuilder().setStatesNews(news).build())).isTrue();
		assertThat(this.states.state("a")).contains(SubmissionState.COMPLETED);
		assertThat(this.states.waitingJobs("q").jobs()).isEqualTo(2);
	}

}
