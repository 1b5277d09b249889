package org.monsoonrelay.logic.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.fakes.InMemoryRows;
import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.ObjectStore;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableService;

/**
 * In-memory table and object store with fault injection. Answers are given immediately on
 * the caller's thread. Not thread-safe.
 */
final class FakePlatform implements TableService, ObjectStore {

	final Map<String, String> objects = new HashMap<>();

	private final InMemoryRows rows = new InMemoryRows();

	private final Map<String, Optional<Row>> staleReads = new HashMap<>();

	private final Deque<CommitFault> commitFaults = new ArrayDeque<>();

	private final List<List<ConditionalWrite>> delayedCommits = new ArrayList<>();

	private Runnable beforeCommit = () -> {
	};

	boolean down;

	boolean throwsOnRead;

	int commits;

	int reads;

	int puts;

	long bytesWritten;

	/**
	 * The fault injected into a commit.
	 */
	enum CommitFault {

		/** The commit takes effect and its answer is lost. */
		ANSWER_LOST,

		/** The commit takes effect, its answer is lost, and no later call is answered. */
		ANSWER_LOST_THEN_DOWN,

		/**
		 * The answer is lost, and the commit takes effect only when the test applies it.
		 */
		DELAYED,

		/** The commit fails and is known to have had no effect. */
		REFUSED

	}

	void failNextCommit(CommitFault fault) {
		this.commitFaults.add(fault);
	}

	void beforeNextCommit(Runnable action) {
		this.beforeCommit = action;
	}

	void nextReadIsStale(String key, Optional<Row> staleRow) {
		this.staleReads.put(key, staleRow);
	}

	Optional<Row> row(String key) {
		return this.rows.row(key);
	}

	List<Row> rows(String prefix) {
		return this.rows.rows(prefix);
	}

	void applyDelayedCommits() {
		this.delayedCommits.forEach(this::write);
		this.delayedCommits.clear();
	}

	@Override
	public CompletableFuture<Optional<Row>> read(String key) {
		this.reads++;
		if (this.throwsOnRead) {
			throw new IllegalStateException("the client is closed");
		}
		if (this.down) {
			return noAnswer(true);
		}
		Optional<Row> stale = this.staleReads.remove(key);
		return CompletableFuture.completedFuture((stale != null) ? stale : row(key));
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		this.reads++;
		return this.down ? noAnswer(true) : CompletableFuture.completedFuture(
				rows(prefix).stream().filter((row) -> row.key().compareTo(after) > 0).limit(limit).toList());
	}

	@Override
	public CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes) {
		Runnable hook = this.beforeCommit;
		this.beforeCommit = () -> {
		};
		hook.run();
		CommitFault fault = this.commitFaults.poll();
		this.commits++;
		if (this.down || fault == CommitFault.REFUSED) {
			return noAnswer(fault == null);
		}
		if (fault == CommitFault.DELAYED) {
			this.delayedCommits.add(writes);
			return noAnswer(true);
		}
		CommitResult result = write(writes);
		this.down = fault == CommitFault.ANSWER_LOST_THEN_DOWN;
		return (fault != null) ? noAnswer(true) : CompletableFuture.completedFuture(result);
	}

	private CommitResult write(List<ConditionalWrite> writes) {
		CommitResult result = this.rows.apply(writes);
		if (result instanceof CommitResult.Committed) {
			writes.forEach((write) -> this.bytesWritten += write.value().length());
		}
		return result;
	}

	@Override
	public CompletableFuture<Void> put(String name, String content) {
		this.puts++;
		if (this.down) {
			return noAnswer(true);
		}
		this.objects.put(name, content);
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<Optional<String>> get(String name) {
		this.reads++;
		return this.down ? noAnswer(true)
				: CompletableFuture.completedFuture(Optional.ofNullable(this.objects.get(name)));
	}

	private static <T> CompletableFuture<T> noAnswer(boolean mayHaveTakenEffect) {
		return CompletableFuture.failedFuture(new PlatformException("no answer", mayHaveTakenEffect, null));
	}

}
