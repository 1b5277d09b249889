package org.monsoonrelay.logic.pool;

import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * The terms in which this process owns the pool, one after another. Not thread-safe:
 * confined to the control thread.
 */
public final class OwnershipTerms {

	private final BiFunction<TakeOver, Consumer<String>, PoolOwner> owners;

	private final Function<PoolOwner, Runnable> inputs;

	private final Runnable onEnd;

	private Optional<Term> current = Optional.empty();

	/**
	 * Creates a process that does not own the pool.
	 * @param owners creates the owner of a term, which reports the reason of its end
	 * @param inputs configures a started owner and keeps its lists up to date until the
	 * returned action is called
	 * @param onEnd called when a term has ended
	 */
	public OwnershipTerms(BiFunction<TakeOver, Consumer<String>, PoolOwner> owners,
			Function<PoolOwner, Runnable> inputs, Runnable onEnd) {
		this.owners = owners;
		this.inputs = inputs;
		this.onEnd = onEnd;
	}

	/**
	 * Begins a term.
	 * @param takeOver how this process became the owner
	 */
	public void begin(TakeOver takeOver) {
		PoolOwner owner = this.owners.apply(takeOver, this::ended);
		owner.start();
		this.current = Optional.of(new Term(owner, this.inputs.apply(owner)));
	}

	private void ended(String reason) {
		this.current.ifPresent((term) -> term.closeInputs().run());
		this.current = Optional.empty();
		this.onEnd.run();
	}

	/**
	 * Returns the owner of the current term.
	 * @return the owner, empty while this process does not own the pool
	 */
	public Optional<PoolOwner> owner() {
		return this.current.map(Term::owner);
	}

	private record Term(PoolOwner owner, Runnable closeInputs) {

	}

}
