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
 * Keeps this instance's session and takes over what has no live owner. Invariants: an
 * ownership is used only after its conditional write took effect or was read back; the
 * epoch grows with each change of owner and comes from the table alone; rows of ended
 * sessions are used again, so that their number follows the instances and not their
 * restarts. The owners' rows are read when sessions come or go, when a claim is not
 * settled, and now and then. Not thread-safe: confined to the control thread.
 */
public final class OwnershipKeeper {

	private static final System.Logger LOGGER = System.getLogger(OwnershipKeeper.class.getName());

	private static final int MAXIMUM_ROWS = 10_000;

	private static final int MAXIMUM_CLAIMS = 64;

	private static final int ROUNDS_BETWEEN_READINGS = 30;

	private final SessionRecord self;

	private final TableService table;

	private final Executor control;

	private final LongSupplier monotonicNanos;

	private final Listener listener;

	private final SessionLivenessTracker watch;

	private Set<String> knownLive = Set.of();

	private Set<String> knownWanted = Set.of();

	private int roundsToReading;

	private boolean busy;

	private boolean stopping;

	public OwnershipKeeper(SessionRecord self, TableService table, Executor control, LongSupplier monotonicNanos,
			Duration expiry, Listener listener) {
		this.self = self;
		this.table = table;
		this.control = control;
		this.monotonicNanos = monotonicNanos;
		this.listener = listener;
		this.watch = new SessionLivenessTracker(expiry);
	}

	/**
	 * One round: read who is alive, renew the session, take over what has no live owner.
	 * @param wanted what has to be owned, by key of its row, with its failure domain
	 */
	public void runRound(Map<String, String> wanted) {
		if (this.busy || this.stopping) {
			return;
		}
		this.busy = true;
		this.table.scan(TableKeys.SESSIONS, "", MAXIMUM_ROWS).whenCompleteAsync((sessions, failure) -> {
			this.busy = false;
			if (failure == null && !this.stopping) {
				take(sessions, wanted);
			}
		}, this.control);
	}

	private void take(List<Row> sessions, Map<String, String> wanted) {
		long now = this.monotonicNanos.getAsLong();
		Map<Row, SessionRecord> records = sessions.stream()
			.collect(Collectors.toMap((row) -> row, (row) -> Json.read(row.value(), SessionRecord.class)));
		this.watch.retain(records.values().stream().map(SessionRecord::session).collect(Collectors.toSet()));
		records.forEach((row, record) -> this.watch.observe(record, row.version(), now));
		renew(records);
		List<SessionRecord> live = live();
		records.forEach((row, record) -> endLapsed(row, record, live));
		if (isReadingDue(live, wanted.keySet())) {
			readOwners(wanted, live);
		}
	}

	private List<SessionRecord> live() {
		return this.watch.live(this.monotonicNanos.getAsLong());
	}

	/**
	 * Number of instances that are alive, this one included.
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

	private void endLapsed(Row row, SessionRecord record, List<SessionRecord> live) {
		boolean lapsed = !record.hasEnded() && live.stream().noneMatch((session) -> session.equals(record));
		boolean mine = OwnershipPlan.successor(row.key(), "", Ownership.NONE, live)
			.filter(this.self::equals)
			.isPresent();
		if (lapsed && mine) {
			this.table.commit(List.of(new ConditionalWrite(row.key(), Json.write(record.asEnded()), row.version())));
		}
	}

	private boolean isReadingDue(List<SessionRecord> live, Set<String> wanted) {
		Set<String> sessions = live.stream().map(SessionRecord::session).collect(Collectors.toSet());
		boolean changed = !sessions.equals(this.knownLive) || !wanted.equals(this.knownWanted);
		this.knownLive = sessions;
		this.knownWanted = Set.copyOf(wanted);
		this.roundsToReading--;
		return changed || this.roundsToReading < 0;
	}

	private void readOwners(Map<String, String> wanted, List<SessionRecord> live) {
		this.roundsToReading = 0;
		this.table.scan(TableKeys.OWNERS, "", MAXIMUM_ROWS).thenAcceptAsync((rows) -> {
			this.roundsToReading = ROUNDS_BETWEEN_READINGS;
			claim(claims(rows, wanted, live));
		}, this.control);
	}

	private List<Claim> claims(List<Row> rows, Map<String, String> wanted, List<SessionRecord> live) {
		Map<String, Row> owners = new HashMap<>();
		rows.forEach((row) -> owners.put(row.key(), row));
		List<Claim> claims = new ArrayList<>();
		new TreeMap<>(wanted).forEach((key, domain) -> {
			Optional<Row> row = Optional.ofNullable(owners.get(key));
			Ownership owned = row.map((found) -> Json.read(found.value(), Ownership.class)).orElse(Ownership.NONE);
			this.listener.onOwnership(key, owned, owned.session().equals(this.self.session()));
			OwnershipPlan.successor(key, domain, owned, live)
				.filter((successor) -> successor.session().equals(this.self.session()))
				.ifPresent((successor) -> claims.add(new Claim(key, owned.transferredTo(this.self.session()),
						row.map(Row::version).orElse(ConditionalWrite.ABSENT))));
		});
		return claims;
	}

	private void claim(List<Claim> claims) {
		for (int from = 0; from < claims.size(); from += MAXIMUM_CLAIMS) {
			List<Claim> batch = claims.subList(from, Math.min(claims.size(), from + MAXIMUM_CLAIMS));
			List<ConditionalWrite> writes = batch.stream()
				.map((claim) -> new ConditionalWrite(claim.key(), Json.write(claim.next()), claim.version()))
				.toList();
			this.table.commit(writes).whenCompleteAsync((result, failure) -> {
				if (result instanceof CommitResult.Committed) {
					batch.forEach((claim) -> this.listener.onOwnership(claim.key(), claim.next(), true));
					LOGGER.log(System.Logger.Level.INFO, "took over {0} ownerships", batch.size());
				}
				else {
					this.roundsToReading = 0;
				}
			}, this.control);
		}
	}

	/**
	 * Give up the session, so that others take over at once.
	 * @return completes when it is given up, or cannot be
	 */
	public CompletableFuture<Void> release() {
		this.stopping = true;
		return this.table.scan(TableKeys.SESSIONS, "", MAXIMUM_ROWS)
			.thenCompose((rows) -> this.table.commit(rows.stream()
				.filter((row) -> Json.read(row.value(), SessionRecord.class).equals(this.self))
				.map((row) -> new ConditionalWrite(row.key(), Json.write(this.self.asEnded()), row.version()))
				.toList()))
			.handle((result, failure) -> null);
	}

	/**
	 * Told of who owns what.
	 */
	public interface Listener {

		/**
		 * An ownership was read or written.
		 * @param key key of the row
		 * @param ownership the ownership
		 * @param own whether it is this instance's
		 */
		void onOwnership(String key, Ownership ownership, boolean own);

	}

	private record Claim(String key, Ownership next, long version) {

	}

}
