package org.monsoonrelay.scheduler;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;

import org.monsoonrelay.logic.membership.OwnershipPlan;
import org.monsoonrelay.logic.membership.SessionWatch;
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
 * epoch grows with each change of owner. Not thread-safe: confined to the control thread.
 */
final class OwnershipKeeper {

	private static final System.Logger LOGGER = System.getLogger(OwnershipKeeper.class.getName());

	private static final int MAXIMUM_ROWS = 10_000;

	private static final int MAXIMUM_CLAIMS = 64;

	private final SessionRecord self;

	private final TableService table;

	private final Executor control;

	private final LongSupplier monotonicNanos;

	private final Listener listener;

	private final SessionWatch watch;

	private long sessionVersion = ConditionalWrite.ABSENT;

	private boolean busy;

	private boolean stopping;

	private long lastRoundNanos;

	OwnershipKeeper(SessionRecord self, TableService table, Executor control, LongSupplier monotonicNanos,
			Duration lapse, Listener listener) {
		this.self = self;
		this.table = table;
		this.control = control;
		this.monotonicNanos = monotonicNanos;
		this.listener = listener;
		this.watch = new SessionWatch(lapse);
		this.lastRoundNanos = monotonicNanos.getAsLong();
	}

	/**
	 * One round: renew the session, read who is alive and who owns what, take over.
	 * @param wanted what has to be owned, by key of its row, with its failure domain
	 */
	void round(Map<String, String> wanted) {
		if (this.busy || this.stopping) {
			return;
		}
		this.busy = true;
		renew().thenCompose((renewed) -> this.table.scan(TableKeys.SESSIONS, "", MAXIMUM_ROWS))
			.thenCombine(this.table.scan(TableKeys.OWNERS, "", MAXIMUM_ROWS), Reading::new)
			.whenCompleteAsync((reading, failure) -> {
				this.busy = false;
				if (failure == null) {
					take(reading, wanted);
				}
			}, this.control);
	}

	private CompletableFuture<Void> renew() {
		String key = TableKeys.SESSIONS + this.self.session();
		return this.table.commit(List.of(new ConditionalWrite(key, Json.write(this.self), this.sessionVersion)))
			.thenAcceptAsync((result) -> this.sessionVersion = versionAfter(result, key), this.control);
	}

	private static long versionAfter(CommitResult result, String key) {
		if (result instanceof CommitResult.Committed committed) {
			return committed.versions().get(key);
		}
		return ((CommitResult.Conflict) result).versions().get(key);
	}

	private void take(Reading reading, Map<String, String> wanted) {
		long now = this.monotonicNanos.getAsLong();
		excuseOutage(now);
		reading.sessions()
			.forEach((row) -> this.watch.observe(Json.read(row.value(), SessionRecord.class), row.version(), now));
		Set<String> present = new HashSet<>();
		reading.sessions().forEach((row) -> present.add(row.key().substring(TableKeys.SESSIONS.length())));
		List<SessionRecord> live = this.watch.live(now)
			.stream()
			.filter((session) -> present.contains(session.session()) && !session.failureDomain().isEmpty())
			.toList();
		Map<String, Row> owners = new HashMap<>();
		reading.owners().forEach((row) -> owners.put(row.key(), row));
		List<Claim> claims = new ArrayList<>();
		new TreeMap<>(wanted).forEach((key, domain) -> {
			Row row = owners.get(key);
			Ownership owned = (row != null) ? Json.read(row.value(), Ownership.class) : Ownership.NONE;
			this.listener.owner(key, owned, owned.session().equals(this.self.session()));
			OwnershipPlan.successor(key, domain, owned, live)
				.filter((successor) -> successor.session().equals(this.self.session()))
				.ifPresent((successor) -> claims.add(new Claim(key, owned.takenBy(this.self.session()),
						(row != null) ? row.version() : ConditionalWrite.ABSENT)));
		});
		claim(claims);
	}

	private void excuseOutage(long now) {
		long gap = now - this.lastRoundNanos;
		if (gap > Duration.ofSeconds(2).toNanos()) {
			this.watch.excuse(gap);
		}
		this.lastRoundNanos = now;
	}

	private void claim(List<Claim> claims) {
		for (int from = 0; from < claims.size(); from += MAXIMUM_CLAIMS) {
			List<Claim> batch = claims.subList(from, Math.min(claims.size(), from + MAXIMUM_CLAIMS));
			List<ConditionalWrite> writes = batch.stream()
				.map((claim) -> new ConditionalWrite(claim.key(), Json.write(claim.next()), claim.version()))
				.toList();
			this.table.commit(writes).whenCompleteAsync((result, failure) -> {
				if (result instanceof CommitResult.Committed) {
					batch.forEach((claim) -> this.listener.owner(claim.key(), claim.next(), true));
					LOGGER.log(System.Logger.Level.INFO, "took over {0} ownerships", batch.size());
				}
			}, this.control);
		}
	}

	/**
	 * Give up the session, so that others take over at once.
	 * @return completes when it is given up, or cannot be
	 */
	CompletableFuture<Void> release() {
		this.stopping = true;
		String key = TableKeys.SESSIONS + this.self.session();
		SessionRecord ended = new SessionRecord(this.self.session(), "", this.self.peerAddress());
		return this.table.commit(List.of(new ConditionalWrite(key, Json.write(ended), this.sessionVersion)))
			.handle((result, failure) -> null);
	}

	/**
	 * Told of who owns what.
	 */
	interface Listener {

		/**
		 * An ownership was read or written.
		 * @param key key of the row
		 * @param ownership the ownership
		 * @param own whether it is this instance's
		 */
		void owner(String key, Ownership ownership, boolean own);

	}

	private record Reading(List<Row> sessions, List<Row> owners) {

	}

	private record Claim(String key, Ownership next, long version) {

	}

}
