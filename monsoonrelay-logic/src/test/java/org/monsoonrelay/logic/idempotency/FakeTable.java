package org.monsoonrelay.logic.idempotency;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.Supplier;

import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableService;

/**
 * In-memory table that can inject faults into calls. Each call takes effect when the
 * executor runs it.
 */
final class FakeTable implements TableService {

	private final Map<String, Row> rows = new HashMap<>();

	private final Executor executor;

	private Supplier<Fault> faults = () -> Fault.NONE;

	private List<ConditionalWrite> heldWrites = List.of();

	private long version;

	FakeTable(Executor executor) {
		this.executor = executor;
	}

	void setFaults(Supplier<Fault> supplier) {
		this.faults = supplier;
	}

	/**
	 * Apply the most recent held write.
	 * @return the result of the commit
	 */
	CommitResult applyHeldWrites() {
		return apply(this.heldWrites);
	}

	@Override
	public CompletableFuture<Optional<Row>> read(String key) {
		return call((fault) -> Optional.ofNullable(this.rows.get(key)));
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		throw new UnsupportedOperationException();
	}

	@Override
	public CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes) {
		return call((fault) -> {
			if (fault == Fault.HELD) {
				this.heldWrites = writes;
				return null;
			}
			return apply(writes);
		});
	}

	private <T> CompletableFuture<T> call(Function<Fault, T> effect) {
		CompletableFuture<T> answer = new CompletableFuture<>();
		this.executor.execute(() -> {
			Fault fault = this.faults.get();
			T result = (fault != Fault.DOWN) ? effect.apply(fault) : null;
			if (fault == Fault.NONE) {
				answer.complete(result);
			}
			else {
				answer.completeExceptionally(new PlatformException(fault.toString(), true, null));
			}
		});
		return answer;
	}

	private CommitResult apply(List<ConditionalWrite> writes) {
		Map<String, Long> versions = new HashMap<>();
		for (ConditionalWrite write : writes) {
			Row present = this.rows.get(write.key());
			long found = (present != null) ? present.version() : ConditionalWrite.ABSENT;
			if (found != write.expectedVersion()) {
				return new CommitResult.Conflict(Map.of(write.key(), found));
			}
		}
		this.version++;
		for (ConditionalWrite write : writes) {
			this.rows.put(write.key(), new Row(write.key(), write.value(), this.version));
			versions.put(write.key(), this.version);
		}
		return new CommitResult.Committed(versions);
	}

	/**
	 * Fault injected into a call.
	 */
	enum Fault {

		/** The call takes effect and is answered. */
		NONE,

		/** The call takes effect, but its response is lost. */
		ANSWER_LOST,

		/** The call has no effect and is not answered. */
		DOWN,

		/** The call is not answered; a write takes effect later. */
		HELD

	}

}
