package org.monsoonrelay.logic.pool;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The terms in which this process owns the pool, one after another. A process may take
 * the pool over again before its owner of the former term knows that it was superseded.
 * Invariants: a term begins after the former one has ended; the end of a term affects
 * only that term. Not thread-safe: confined to the control thread.
 */
public final class OwnershipTerms {

	private final BiFunction<TakeOver, Consumer<String>, PoolOwner> owners;

	private final Function<PoolOwner, Runnable> inputs;

	private Optional<Term> current = Optional.empty();

	/**
	 * Creates a process that does not own the pool.
	 * @param owners creates the owner of a term, which reports the reason of its end
	 * @param inputs configures a started owner and keeps its lists up to date until the
	 * returned action is called
	 */
	public OwnershipTerms(BiFunction<TakeOver, Consumer<String>, PoolOwner> owners,
			Function<PoolOwner, Runnable> inputs) {
		this.owners = owners;
		this.inputs = inputs;
	}

	/**
	 * Begins a term.
	 * @param takeOver how this process became the owner
	 */
	public void begin(TakeOver takeOver) {
		this.current.ifPresent((former) -> former.owner.endTerm("this process has taken the pool over again"));
		Term term = new Term(takeOver);
		this.current = Optional.of(term);
		term.start();
	}

	/**
	 * Releases the pool if this process owns it.
	 * @return completed when the current term has ended
	 */
	public CompletableFuture<Void> release() {
		Optional<Term> released = this.current;
		released.ifPresent((term) -> term.owner.release());
		return released.map((term) -> term.end).orElse(CompletableFuture.completedFuture(null));
	}

	/**
	 * Returns the owner of the current term.
	 * @return the owner, empty while this process does not own the pool
	 */
	public Optional<PoolOwner> owner() {
		return this.current.map((term) -> term.owner);
	}

	/**
	 * Returns whether a term has begun and has not ended, however it may end.
	 * @return {@code true} if this process acts as the owner
	 */
	public boolean isGoingOn() {
		return this.current.isPresent();
	}

	private final class Term {

		private final PoolOwner owner;

		private final CompletableFuture<Void> end = new CompletableFuture<>();

		private Runnable closeInputs = () -> {
		};

		Term(TakeOver takeOver) {
			this.owner = OwnershipTerms.this.owners.apply(takeOver, (reason) -> ended());
		}

		void start() {
			this.owner.start();
			this.closeInputs = OwnershipTerms.this.inputs.apply(this.owner);
		}

		private void ended() {
			OwnershipTerms terms = OwnershipTerms.this;
			this.closeInputs.run();
			terms.current = terms.current.filter((term) -> term != this);
			this.end.complete(null);
		}

	}

}
