package org.monsoonrelay.logic.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableKeys;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.model.membership.Ownership;
import org.monsoonrelay.model.membership.SessionRecord;

/**
 * Renews this instance's session and takes over racks and queues without a live owner.
 * Invariants: an ownership is used only after its conditional write took effect or was
 * read back; the epoch increases with each change of owner and is taken from the table
 * only; what a lapsed session owned is claimed only after the row of the session was
 * ended; an instance whose session was ended claims anew what it owned, since claims of
 * others may be under way; a late answer that shows an earlier epoch than the latest one
 * known changes nothing; rows of ended sessions are reused, so that their number depends
 * on the number of instances and not on their restarts. The ownership rows are read when
 * sessions start or end, when the outcome of a claim is unknown, and periodically. Not
 * thread-safe: confined to the control thread.
 */
public final class OwnershipKeeper {

	private static final System.Logger LOGGER = System.getLogger(OwnershipKeeper.class.getName());

	private static final int MAX_ROWS = 10_000;

	private static final int MAX_CLAIMS_PER_TRANSACTION = 64;

	private static final int ROUNDS_BETWEEN_OWNER_READS = 30;

	private final SessionRecord self;

	private final TableService table;

	private final Executor control;

	private final LongSupplier monotonicNanos;

	private final Listener listener;

	private final SessionLivenessTracker liveness;

	private Set<String> knownLive = Set.of();

	private Set<String> knownWanted = Set.of();

	// By key, the latest epoch of the ownership that was read or written.
	private final Map<String, Long> knownEpochs = new HashMap<>();

	// By key, the last epoch of the ownership when this session was found ended.
	private final Map<String, Long> endedEpochs = new HashMap<>();

	private long sessionEnds;

	private long recordedSessionEnds;

	private int roundsUntilOwnerRead;

	private boolean inProgress;

	private boolean stopping;

	public OwnershipKeeper(SessionRecord self, TableService table, Executor control, LongSupplier monotonicNanos,
			Duration expiry, Listener listener) {
		this.self = self;
		this.table = table;
		this.control = control;
		this.monotonicNanos = monotonicNanos;
		this.listener = listener;
		this.liveness = new SessionLivenessTracker(expiry);
	}

	/**
	 * Run one round: read the live sessions, renew the own session, and claim what has no
	 * live owner. Does nothing while an earlier round is in progress.
	 * @param wanted failure domains of what has to be owned, by key of the ownership row
	 */
	public void runRound(Map<String, String> wanted) {
		if (this.inProgress || this.stopping) {
			return;
		}
		this.inProgress = true;
		this.table.scan(TableKeys.SESSIONS, "", MAX_ROWS).whenCompleteAsync((sessions, failure) -> {
			this.inProgress = false;
			if (failure == null && !this.stopping) {
				applySessions(sessions, wanted);
			}
		}, this.control);
	}

	private void applySessions(List<Row> sessions, Map<String, String> wanted) {
		long now = this.monotonicNanos.getAsLong();
		Map<Row, SessionRecord> records = sessions.stream()
			.collect(Collectors.toMap((row) -> row, (row) -> Json.read(row.value(), SessionRecord.class)));
		this.liveness.retain(records.values().stream().map(SessionRecord::session).collect(Collectors.toSet()));
		records.forEach((row, record) -> this.liveness.observe(record, row.version(), now));
		if (!records.containsValue(this.self)) {
			this.sessionEnds++;
			this.roundsUntilOwnerRead = 0;
		}
		renew(records);
		List<SessionRecord> live = live();
		ExpiredSessions expired = new ExpiredSessions(records, live);
		expired.endAssigned();
		if (isOwnerReadDue(live, wanted.keySet())) {
			readOwnersAndClaim(wanted, live, expired);
		}
	}

	private List<SessionRecord> live() {
		return this.liveness.live(this.monotonicNanos.getAsLong());
	}

	/**
	 * Number of live instances, including this one.
	 * @return the count, at least 1
	 */
	public int liveCount() {
		return Math.max(1, this.knownLive.size());
	}

	private void renew(Map<Row, SessionRecord> records) {
		Optional<Row> own = rowWhere(records, (record) -> record.session().equals(this.self.session()))
			.or(() -> rowWhere(records, SessionRecord::hasEnded));
		String key = own.map(Row::key).orElse(TableKeys.SESSIONS + this.self.session());
		long version = own.map(Row::version).orElse(ConditionalWrite.ABSENT);
		this.table.commit(List.of(new ConditionalWrite(key, Json.write(this.self), version)));
	}

	private static Optional<Row> rowWhere(Map<Row, SessionRecord> records, Predicate<SessionRecord> condition) {
		return records.entrySet()
			.stream()
			.filter((entry) -> condition.test(entry.getValue()))
			.map(Map.Entry::getKey)
			.min(Comparator.comparing(Row::key));
	}

	private boolean isOwnerReadDue(List<SessionRecord> live, Set<String> wanted) {
		Set<String> sessions = live.stream().map(SessionRecord::session).collect(Collectors.toSet());
		boolean changed = !sessions.equals(this.knownLive) || !wanted.equals(this.knownWanted);
		this.knownLive = sessions;
		this.knownWanted = Set.copyOf(wanted);
		this.roundsUntilOwnerRead--;
		return changed || this.roundsUntilOwnerRead < 0;
	}

	private void readOwnersAndClaim(Map<String, String> wanted, List<SessionRecord> live, ExpiredSessions expired) {
		this.roundsUntilOwnerRead = 0;
		long endsBefore = this.sessionEnds;
		this.table.scan(TableKeys.OWNERS, "", MAX_ROWS).thenAcceptAsync((rows) -> {
			this.roundsUntilOwnerRead = ROUNDS_BETWEEN_OWNER_READS;
			Map<String, Row> owners = new HashMap<>();
			rows.forEach((row) -> owners.put(row.key(), row));
			recordSessionEnds(owners, endsBefore);
			claims(owners, wanted, live).stream()
				.collect(Collectors.groupingBy(Claim::formerSession))
				.forEach((session, claims) -> expired.end(session).thenAcceptAsync((hasEnded) -> {
					if (hasEnded) {
						claim(claims);
					}
					else {
						this.roundsUntilOwnerRead = 0;
					}
				}, this.control));
		}, this.control);
	}

	// Rows read before an end was found may miss what the session owned at its end.
	private void recordSessionEnds(Map<String, Row> owners, long endsBefore) {
		if (endsBefore > this.recordedSessionEnds) {
			this.recordedSessionEnds = endsBefore;
			owners.forEach((key, row) -> this.endedEpochs.merge(key, Json.read(row.value(), Ownership.class).epoch(),
					Math::max));
		}
	}

	/**
	 * Record that an ownership was read or written under an epoch.
	 * @param key key of the ownership row
	 * @param epoch the epoch
	 * @return {@code false} if a later epoch is known already
	 */
	private boolean isLatest(String key, long epoch) {
		return this.knownEpochs.merge(key, epoch, Math::max) == epoch;
	}

	private boolean hasEnded(String key, long epoch) {
		return epoch <= this.endedEpochs.getOrDefault(key, 0L);
	}

	private List<Claim> claims(Map<String, Row> owners, Map<String, String> wanted, List<SessionRecord> live) {
		List<Claim> claims = new ArrayList<>();
		new TreeMap<>(wanted).forEach((key, domain) -> {
			Optional<Row> row = Optional.ofNullable(owners.get(key));
			Ownership owned = row.map((found) -> Json.read(found.value(), Ownership.class)).orElse(Ownership.NONE);
			if (!isLatest(key, owned.epoch())) {
				this.roundsUntilOwnerRead = 0;
				return;
			}
			boolean own = owned.session().equals(this.self.session());
			boolean ended = own && hasEnded(key, owned.epoch());
			this.listener.onOwnership(key, owned, own && !ended);
			OwnershipPlan.successor(key, domain, ended ? Ownership.NONE : owned, live)
				.filter((successor) -> successor.session().equals(this.self.session()))
				.ifPresent((successor) -> claims
					.add(new Claim(key, owned.session(), owned.transferredTo(this.self.session()),
							row.map(Row::version).orElse(ConditionalWrite.ABSENT))));
		});
		return claims;
	}

	private void claim(List<Claim> claims) {
		for (int from = 0; from < claims.size(); from += MAX_CLAIMS_PER_TRANSACTION) {
			List<Claim> batch = claims.subList(from, Math.min(claims.size(), from + MAX_CLAIMS_PER_TRANSACTION));
			List<ConditionalWrite> writes = batch.stream()
				.map((claim) -> new ConditionalWrite(claim.key(), Json.write(claim.next()), claim.version()))
				.toList();
			this.table.commit(writes).whenCompleteAsync((result, failure) -> {
				if (result instanceof CommitResult.Committed) {
					batch.forEach(this::claimTookEffect);
					LOGGER.log(System.Logger.Level.INFO, "took over {0} ownerships", batch.size());
				}
				else {
					this.roundsUntilOwnerRead = 0;
				}
			}, this.control);
		}
	}

	private void claimTookEffect(Claim claim) {
		if (isLatest(claim.key(), claim.next().epoch()) && !hasEnded(claim.key(), claim.next().epoch())) {
			this.listener.onOwnership(claim.key(), claim.next(), true);
		}
	}

	/**
	 * End the session, so that other instances take over at once.
	 * @return completes, never exceptionally, when the session has ended or the attempt
	 * failed
	 */
	public CompletableFuture<Void> release() {
		this.stopping = true;
		return this.table.scan(TableKeys.SESSIONS, "", MAX_ROWS)
			.thenCompose((rows) -> this.table.commit(rows.stream()
				.filter((row) -> Json.read(row.value(), SessionRecord.class).equals(this.self))
				.map((row) -> new ConditionalWrite(row.key(), Json.write(this.self.asEnded()), row.version()))
				.toList()))
			.handle((result, failure) -> null);
	}

	/**
	 * Notified of ownerships, on the control thread.
	 */
	public interface Listener {

		/**
		 * An ownership was read or written.
		 * @param key key of the ownership row
		 * @param ownership the ownership
		 * @param own whether it belongs to this instance
		 */
		void onOwnership(String key, Ownership ownership, boolean own);

	}

	private record Claim(String key, String formerSession, Ownership next, long version) {

	}

	/**
	 * The sessions that have expired in one round. What a session owned is claimed only
	 * after its row has been ended on condition of the version at which it expired: a
	 * renewal that takes effect first prevents the claim, and one that comes later
	 * conflicts, so that the former owner notices.
	 */
	private final class ExpiredSessions {

		private final Map<String, ConditionalWrite> ends = new TreeMap<>();

		private final Map<String, CompletableFuture<Boolean>> results = new HashMap<>();

		private final List<SessionRecord> live;

		ExpiredSessions(Map<Row, SessionRecord> records, List<SessionRecord> live) {
			this.live = live;
			records.forEach((row, record) -> {
				if (!record.hasEnded() && !live.contains(record)) {
					this.ends.put(record.session(),
							new ConditionalWrite(row.key(), Json.write(record.asEnded()), row.version()));
				}
			});
		}

		/**
		 * End the sessions that it falls to this instance to end.
		 */
		void endAssigned() {
			this.ends.forEach((session, write) -> {
				if (OwnershipPlan.successor(write.key(), "", Ownership.NONE, this.live)
					.filter(OwnershipKeeper.this.self::equals)
					.isPresent()) {
					end(session);
				}
			});
		}

		/**
		 * End a session if it has expired.
		 * @param session the session
		 * @return completes, never exceptionally, with whether the session does not stand
		 * in the way of a claim: its row was ended, or it has not expired
		 */
		CompletableFuture<Boolean> end(String session) {
			if (!this.ends.containsKey(session)) {
				return CompletableFuture.completedFuture(true);
			}
			return this.results.computeIfAbsent(session,
					(expired) -> OwnershipKeeper.this.table.commit(List.of(this.ends.get(expired)))
						.handle((result, failure) -> result instanceof CommitResult.Committed));
		}

	}

}
