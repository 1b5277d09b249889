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
 * Runs a request with a key at most once over all gateways. Invariants: the key is
 * reserved in the table before the request is routed; only the request whose own write
 * made the reservation is routed; a reservation whose answer was lost is settled by
 * reading back; one that cannot be settled is not run and its key is freed later; a key
 * whose request may have run stays taken. Thread-safe.
 */
public final class IdempotentRequests {

	/** How long a key is kept at least. */
	public static final Duration RETENTION = Duration.ofHours(24);

	/** The largest answer kept, headers and body. */
	public static final int MAXIMUM_ANSWER_BYTES = 2048;

	private static final int MAXIMUM_TRIES = 8;

	private final TableService table;

	private final Function<ForwardedRequest, CompletableFuture<RequestOutcome>> router;

	private final InstantSource clock;

	private final Duration retryAfter;

	private final Queue<Change> delayed = new ConcurrentLinkedQueue<>();

	private final AtomicInteger unsettled = new AtomicInteger();

	/**
	 * Create the runner.
	 * @param table the platform's table
	 * @param router routes a request whose key is reserved; never fails
	 * @param clock the clock
	 * @param retryAfter when to come back after the table could not be reached
	 */
	public IdempotentRequests(TableService table, Function<ForwardedRequest, CompletableFuture<RequestOutcome>> router,
			InstantSource clock, Duration retryAfter) {
		this.table = table;
		this.router = router;
		this.clock = clock;
		this.retryAfter = retryAfter;
	}

	/**
	 * Run a request unless one with the same key has been run or may be running.
	 * @param key the caller's key
	 * @param request the request
	 * @return its outcome, or that of the earlier request with the key; never fails
	 */
	public CompletableFuture<RequestOutcome> route(String key, ForwardedRequest request) {
		RequestKey requestKey = RequestKey.of(key, request);
		CompletableFuture<Optional<RequestOutcome>> decided = new CompletableFuture<>();
		reserve(new Attempt(requestKey, request, MAXIMUM_TRIES, false))
			.exceptionally((failure) -> Optional.of(new RequestOutcome.Unknown("the table's row cannot be read")))
			.thenAccept((earlier) -> {
				boolean inTime = decided.complete(earlier);
				if (!inTime && earlier.isEmpty()) {
					release(requestKey, request);
				}
			});
		RequestOutcome late = new RequestOutcome.NotRun(NotRunReason.DEADLINE, this.retryAfter);
		return decided.completeOnTimeout(Optional.of(late), millisLeft(request), TimeUnit.MILLISECONDS)
			.thenCompose((earlier) -> earlier.map(CompletableFuture::completedFuture)
				.orElseGet(() -> run(requestKey, request)));
	}

	private long millisLeft(ForwardedRequest request) {
		return Math.max(0, Duration.between(this.clock.instant(), request.deadline()).toMillis());
	}

	private CompletableFuture<Optional<RequestOutcome>> reserve(Attempt attempt) {
		if (!this.clock.instant().isBefore(attempt.request().deadline())) {
			return notReserved(attempt, NotRunReason.DEADLINE);
		}
		if (attempt.triesLeft() == 0) {
			return notReserved(attempt, NotRunReason.OVERLOAD);
		}
		return this.table.read(attempt.key().row())
			.handle((row, failure) -> (failure != null) ? notReserved(attempt, NotRunReason.PLATFORM_UNAVAILABLE)
					: decide(attempt, row))
			.thenCompose(Function.identity());
	}

	private CompletableFuture<Optional<RequestOutcome>> decide(Attempt attempt, Optional<Row> row) {
		KeyBucket bucket = bucket(row);
		Optional<KeyRecord> found = bucket.find(attempt.key().digest());
		if (found.isPresent()) {
			return CompletableFuture.completedFuture(earlier(attempt, found.get()));
		}
		Instant now = this.clock.instant();
		KeyRecord added = KeyRecord.open(attempt.key(), attempt.request().id(), now.plus(RETENTION));
		Optional<KeyBucket> next = bucket.with(added, now);
		if (next.isEmpty()) {
			return notReserved(attempt, NotRunReason.OVERLOAD);
		}
		return write(attempt.key().row(), next.get(), row).handle((result, failure) -> {
			if (failure != null) {
				return reserve(attempt.next(attempt.mayHold() || mayHaveTakenEffect(failure)));
			}
			return (result instanceof CommitResult.Committed)
					? CompletableFuture.completedFuture(Optional.<RequestOutcome>empty())
					: reserve(attempt.next(attempt.mayHold()));
		}).thenCompose(Function.identity());
	}

	private Optional<RequestOutcome> earlier(Attempt attempt, KeyRecord found) {
		if (found.writeId().equals(attempt.request().id())) {
			return Optional.empty();
		}
		if (!found.fingerprint().equals(attempt.key().fingerprint())) {
			return Optional.of(new RequestOutcome.NotRun(NotRunReason.KEY_REUSED, Duration.ZERO));
		}
		return Optional.of(switch (found.state()) {
			case OPEN -> new RequestOutcome.Unknown("an earlier request with this key has no known answer");
			case ANSWERED -> found.answer().outcome();
			case ANSWER_NOT_KEPT -> new RequestOutcome.Unknown(
					"an earlier request with this key ran, and its answer was too large to be kept");
		});
	}

	private CompletableFuture<Optional<RequestOutcome>> notReserved(Attempt attempt, NotRunReason reason) {
		if (attempt.mayHold()) {
			release(attempt.key(), attempt.request());
		}
		return CompletableFuture.completedFuture(Optional.of(new RequestOutcome.NotRun(reason, this.retryAfter)));
	}

	private CompletableFuture<RequestOutcome> run(RequestKey key, ForwardedRequest request) {
		return this.router.apply(request).thenCompose((outcome) -> {
			if (outcome instanceof RequestOutcome.NotRun) {
				release(key, request);
			}
			if (outcome instanceof RequestOutcome.Answered answered) {
				return keep(key, request, answered);
			}
			return CompletableFuture.completedFuture(outcome);
		});
	}

	private CompletableFuture<RequestOutcome> keep(RequestKey key, ForwardedRequest request,
			RequestOutcome.Answered answered) {
		// Passed on at the deadline at the latest, whether or not it is kept by then.
		StoredAnswer answer = StoredAnswer.of(answered);
		Change change = new Change(key.row(),
				(bucket) -> bucket.change(request.id(), (record) -> record.answered(answer, MAXIMUM_ANSWER_BYTES)));
		return settle(change).completeOnTimeout(null, millisLeft(request), TimeUnit.MILLISECONDS)
			.thenApply((kept) -> answered);
	}

	private void release(RequestKey key, ForwardedRequest request) {
		settle(new Change(key.row(), (bucket) -> bucket.without(request.id())));
	}

	private CompletableFuture<Void> settle(Change change) {
		this.unsettled.incrementAndGet();
		return apply(change, MAXIMUM_TRIES).handle((done, failure) -> {
			if (failure != null) {
				this.delayed.add(change);
			}
			else {
				this.unsettled.decrementAndGet();
			}
			return null;
		});
	}

	/**
	 * Write what could not be written before. To be called regularly.
	 */
	public void retryDelayed() {
		for (int left = this.delayed.size(); left > 0; left--) {
			Change change = this.delayed.poll();
			if (change != null) {
				this.unsettled.decrementAndGet();
				settle(change);
			}
		}
	}

	/**
	 * Number of answers and releases that are not written yet.
	 * @return the count
	 */
	public int unsettled() {
		return this.unsettled.get();
	}

	private CompletableFuture<Void> apply(Change change, int triesLeft) {
		// Written also where nothing changes: that makes a reservation on its way fail.
		if (triesLeft == 0) {
			return CompletableFuture
				.failedFuture(new PlatformException("other writes kept coming first: " + change.row(), false, null));
		}
		return this.table.read(change.row())
			.thenCompose((row) -> write(change.row(), change.change().apply(bucket(row)), row))
			.thenCompose((result) -> (result instanceof CommitResult.Committed)
					? CompletableFuture.<Void>completedFuture(null) : apply(change, triesLeft - 1));
	}

	private CompletableFuture<CommitResult> write(String key, KeyBucket bucket, Optional<Row> present) {
		long expected = present.map(Row::version).orElse(ConditionalWrite.ABSENT);
		return this.table.commit(List.of(new ConditionalWrite(key, Json.write(bucket), expected)));
	}

	private static KeyBucket bucket(Optional<Row> row) {
		return row.map((present) -> Json.read(present.value(), KeyBucket.class)).orElse(KeyBucket.EMPTY);
	}

	private static boolean mayHaveTakenEffect(Throwable failure) {
		Throwable cause = (failure.getCause() != null) ? failure.getCause() : failure;
		return !(cause instanceof PlatformException refused) || refused.mayHaveTakenEffect();
	}

	/**
	 * A try at reserving a key.
	 *
	 * @param key the key
	 * @param request the request
	 * @param triesLeft how many tries are left
	 * @param mayHold whether an earlier try may have taken effect
	 */
	private record Attempt(RequestKey key, ForwardedRequest request, int triesLeft, boolean mayHold) {

		Attempt next(boolean mayHoldNow) {
			return new Attempt(this.key, this.request, this.triesLeft - 1, mayHoldNow);
		}

	}

	/**
	 * A change of one row that can be applied again.
	 *
	 * @param row the row
	 * @param change the change, idempotent
	 */
	private record Change(String row, UnaryOperator<KeyBucket> change) {

	}

}
