package org.monsoonrelay.logic.idempotency;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.UnaryOperator;

import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.model.request.NotRunReason;
import org.monsoonrelay.model.request.RequestOutcome;

/**
 * Routes requests with an idempotency key such that a request runs at most once across
 * all gateways. Invariants: the key is reserved in the table before the request is
 * routed; only the request whose own write made the reservation is routed; if the
 * response to that write is lost, the row is read again to determine whether the
 * reservation was made; if this cannot be determined, the request is not routed and its
 * key is released later; the key of a request that may have run stays reserved.
 * Thread-safe.
 */
public final class IdempotentRequestRouter {

	/** Minimum time for which a key is retained. */
	public static final Duration RETENTION = Duration.ofHours(24);

	/** Maximum size of a stored response, headers and body. */
	public static final int MAXIMUM_ANSWER_BYTES = 2048;

	private static final int MAXIMUM_ATTEMPTS = 8;

	private final TableService table;

	private final Function<ForwardedRequest, CompletableFuture<RequestOutcome>> router;

	private final InstantSource clock;

	private final Duration retryAfter;

	private final Queue<RowUpdate> delayedUpdates = new ConcurrentLinkedQueue<>();

	private final AtomicInteger pendingWrites = new AtomicInteger();

	/**
	 * Create a router.
	 * @param table the platform's table
	 * @param router routes a request whose key is reserved; never completes exceptionally
	 * @param clock the clock
	 * @param retryAfter delay after which callers may retry a request that was not run
	 */
	public IdempotentRequestRouter(TableService table,
			Function<ForwardedRequest, CompletableFuture<RequestOutcome>> router, InstantSource clock,
			Duration retryAfter) {
		this.table = table;
		this.router = router;
		this.clock = clock;
		this.retryAfter = retryAfter;
	}

	/**
	 * Route a request unless a request with the same key has run or may be running.
	 * @param key the caller's idempotency key
	 * @param request the request
	 * @return the outcome of the request, or of the earlier request with the same key;
	 * never completes exceptionally
	 */
	public CompletableFuture<RequestOutcome> route(String key, ForwardedRequest request) {
		RequestKey requestKey = RequestKey.of(key, request);
		CompletableFuture<Optional<RequestOutcome>> reservation = new CompletableFuture<>();
		reserve(new ReservationAttempt(requestKey, request, MAXIMUM_ATTEMPTS, false))
			.exceptionally((failure) -> Optional.of(new RequestOutcome.Unknown("the table's row cannot be read")))
			.thenAccept((earlier) -> {
				boolean beforeDeadline = reservation.complete(earlier);
				if (!beforeDeadline && earlier.isEmpty()) {
					releaseKey(requestKey, request);
				}
			});
		RequestOutcome deadlinePassed = new RequestOutcome.NotRun(NotRunReason.DEADLINE, this.retryAfter);
		return reservation
			.completeOnTimeout(Optional.of(deadlinePassed), remainingMillis(request), TimeUnit.MILLISECONDS)
			.thenCompose((earlier) -> earlier.map(CompletableFuture::completedFuture)
				.orElseGet(() -> routeReserved(requestKey, request)));
	}

	private long remainingMillis(ForwardedRequest request) {
		return Math.max(0, Duration.between(this.clock.instant(), request.deadline()).toMillis());
	}

	private CompletableFuture<Optional<RequestOutcome>> reserve(ReservationAttempt attempt) {
		if (!this.clock.instant().isBefore(attempt.request().deadline())) {
			return abandonReservation(attempt, NotRunReason.DEADLINE);
		}
		if (attempt.attemptsLeft() == 0) {
			return abandonReservation(attempt, NotRunReason.OVERLOAD);
		}
		return this.table.read(attempt.key().row())
			.handle((row, failure) -> (failure != null) ? abandonReservation(attempt, NotRunReason.PLATFORM_UNAVAILABLE)
					: reserveInRow(attempt, row))
			.thenCompose(Function.identity());
	}

	private CompletableFuture<Optional<RequestOutcome>> reserveInRow(ReservationAttempt attempt, Optional<Row> row) {
		KeyBucket bucket = readBucket(row);
		Optional<KeyRecord> found = bucket.find(attempt.key().digest());
		if (found.isPresent()) {
			return CompletableFuture.completedFuture(earlierOutcome(attempt, found.get()));
		}
		Instant now = this.clock.instant();
		KeyRecord added = KeyRecord.reserved(attempt.key(), attempt.request().id(), now.plus(RETENTION));
		Optional<KeyBucket> next = bucket.withRecord(added, now);
		if (next.isEmpty()) {
			return abandonReservation(attempt, NotRunReason.OVERLOAD);
		}
		return writeBucket(attempt.key().row(), next.get(), row).handle((result, failure) -> {
			if (failure != null) {
				return reserve(attempt.nextAttempt(attempt.mayBeReserved() || mayHaveTakenEffect(failure)));
			}
			return (result instanceof CommitResult.Committed)
					? CompletableFuture.completedFuture(Optional.<RequestOutcome>empty())
					: reserve(attempt.nextAttempt(attempt.mayBeReserved()));
		}).thenCompose(Function.identity());
	}

	private Optional<RequestOutcome> earlierOutcome(ReservationAttempt attempt, KeyRecord found) {
		if (found.writeId().equals(attempt.request().id())) {
			return Optional.empty();
		}
		if (!found.fingerprint().equals(attempt.key().fingerprint())) {
			return Optional.of(new RequestOutcome.NotRun(NotRunReason.KEY_REUSED, Duration.ZERO));
		}
		return Optional.of(switch (found.state()) {
			case OPEN -> new RequestOutcome.Unknown("an earlier request with this key has no known answer");
			case ANSWERED -> found.answer().toOutcome();
			case ANSWER_NOT_KEPT -> new RequestOutcome.Unknown(
					"an earlier request with this key ran, and its answer was too large to be kept");
		});
	}

	private CompletableFuture<Optional<RequestOutcome>> abandonReservation(ReservationAttempt attempt,
			NotRunReason reason) {
		if (attempt.mayBeReserved()) {
			releaseKey(attempt.key(), attempt.request());
		}
		return CompletableFuture.completedFuture(Optional.of(new RequestOutcome.NotRun(reason, this.retryAfter)));
	}

	private CompletableFuture<RequestOutcome> routeReserved(RequestKey key, ForwardedRequest request) {
		return this.router.apply(request).thenCompose((outcome) -> {
			if (outcome instanceof RequestOutcome.NotRun) {
				releaseKey(key, request);
			}
			if (outcome instanceof RequestOutcome.Answered answered) {
				return storeAnswer(key, request, answered);
			}
			return CompletableFuture.completedFuture(outcome);
		});
	}

	private CompletableFuture<RequestOutcome> storeAnswer(RequestKey key, ForwardedRequest request,
			RequestOutcome.Answered answered) {
		// The response is returned at the deadline at the latest, even if not yet stored.
		StoredAnswer answer = StoredAnswer.of(answered);
		RowUpdate rowUpdate = new RowUpdate(key.row(), (bucket) -> bucket.withUpdatedRecord(request.id(),
				(record) -> record.withAnswer(answer, MAXIMUM_ANSWER_BYTES)));
		return applyOrDelay(rowUpdate).completeOnTimeout(null, remainingMillis(request), TimeUnit.MILLISECONDS)
			.thenApply((stored) -> answered);
	}

	private void releaseKey(RequestKey key, ForwardedRequest request) {
		applyOrDelay(new RowUpdate(key.row(), (bucket) -> bucket.withoutRecord(request.id())));
	}

	private CompletableFuture<Void> applyOrDelay(RowUpdate rowUpdate) {
		this.pendingWrites.incrementAndGet();
		return apply(rowUpdate, MAXIMUM_ATTEMPTS).handle((done, failure) -> {
			if (failure != null) {
				this.delayedUpdates.add(rowUpdate);
			}
			else {
				this.pendingWrites.decrementAndGet();
			}
			return null;
		});
	}

	/**
	 * Retry writes that failed before. Must be called periodically.
	 */
	public void retryDelayedWrites() {
		for (int remaining = this.delayedUpdates.size(); remaining > 0; remaining--) {
			RowUpdate rowUpdate = this.delayedUpdates.poll();
			if (rowUpdate != null) {
				this.pendingWrites.decrementAndGet();
				applyOrDelay(rowUpdate);
			}
		}
	}

	/**
	 * Return the number of responses and key releases that have not been written.
	 * @return the number of pending writes
	 */
	public int pendingWrites() {
		return this.pendingWrites.get();
	}

	private CompletableFuture<Void> apply(RowUpdate rowUpdate, int attemptsLeft) {
		if (attemptsLeft == 0) {
			return CompletableFuture
				.failedFuture(new PlatformException("other writes kept coming first: " + rowUpdate.row(), false, null));
		}
		// Writes the row even if it does not change: the new row version makes a delayed
		// reservation write conflict.
		return this.table.read(rowUpdate.row())
			.thenCompose((row) -> writeBucket(rowUpdate.row(), rowUpdate.update().apply(readBucket(row)), row))
			.thenCompose((result) -> (result instanceof CommitResult.Committed)
					? CompletableFuture.<Void>completedFuture(null) : apply(rowUpdate, attemptsLeft - 1));
	}

	private CompletableFuture<CommitResult> writeBucket(String key, KeyBucket bucket, Optional<Row> present) {
		long expected = present.map(Row::version).orElse(ConditionalWrite.ABSENT);
		return this.table.commit(List.of(new ConditionalWrite(key, Json.write(bucket), expected)));
	}

	private static KeyBucket readBucket(Optional<Row> row) {
		return row.map((present) -> Json.read(present.value(), KeyBucket.class)).orElse(KeyBucket.EMPTY);
	}

	private static boolean mayHaveTakenEffect(Throwable failure) {
		Throwable cause = (failure.getCause() != null) ? failure.getCause() : failure;
		return !(cause instanceof PlatformException refused) || refused.mayHaveTakenEffect();
	}

	/**
	 * State of the attempts to reserve a key.
	 *
	 * @param key the idempotency key
	 * @param request the request
	 * @param attemptsLeft number of remaining attempts
	 * @param mayBeReserved whether an earlier attempt may have taken effect
	 */
	private record ReservationAttempt(RequestKey key, ForwardedRequest request, int attemptsLeft,
			boolean mayBeReserved) {

		ReservationAttempt nextAttempt(boolean mayBeReservedNow) {
			return new ReservationAttempt(this.key, this.request, this.attemptsLeft - 1, mayBeReservedNow);
		}

	}

	/**
	 * Update of a row that can be applied repeatedly.
	 *
	 * @param row the key of the row
	 * @param update the update, which is idempotent
	 */
	private record RowUpdate(String row, UnaryOperator<KeyBucket> update) {

	}

}
