package org.monsoonrelay.logic.fakes;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.PlatformException;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableService;

/**
 * In-memory table with fault injection: unavailable, answers lost after the write, and
 * delayed writes. Not thread-safe.
 */
public final class FakeTable implements TableService {

	private final InMemoryRows rows = new InMemoryRows();

	private final List<List<ConditionalWrite>> lateCommits = new ArrayList<>();

	private boolean down;

	private boolean answersLost;

	private boolean commitsLate;

	private int commits;

	private int rowsWritten;

	private int rowsRead;

	@Override
	public CompletableFuture<Optional<Row>> read(String key) {
		if (this.down) {
			return noAnswer(false);
		}
		this.rowsRead++;
		return CompletableFuture.completedFuture(row(key));
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		if (this.down) {
			return noAnswer(false);
		}
		List<Row> found = rows(prefix).stream().filter((row) -> row.key().compareTo(after) > 0).limit(limit).toList();
		this.rowsRead += found.size();
		return CompletableFuture.completedFuture(found);
	}

	@Override
	public CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes) {
		if (this.down) {
			return noAnswer(false);
		}
		if (this.commitsLate) {
			this.lateCommits.add(writes);
			return noAnswer(true);
		}
		CommitResult result = apply(writes);
		return this.answersLost ? noAnswer(true) : CompletableFuture.completedFuture(result);
	}

	private CommitResult apply(List<ConditionalWrite> writes) {
		CommitResult result = this.rows.apply(writes);
		if (result instanceof CommitResult.Committed) {
			this.commits++;
			this.rowsWritten += writes.size();
		}
		return result;
	}

	private static <T> CompletableFuture<T> noAnswer(boolean mayHaveTakenEffect) {
		return CompletableFuture.failedFuture(new PlatformException("no answer", mayHaveTakenEffect, null));
	}

	/**
	 * The stored row, regardless of injected faults.
	 * @param key the key
	 * @return the row, if it exists
	 */
	public Optional<Row> row(String key) {
		return this.rows.row(key);
	}

	/**
	 * All stored rows under a prefix, regardless of injected faults.
	 * @param prefix the prefix
	 * @return the rows
	 */
	public List<Row> rows(String prefix) {
		return this.rows.rows(prefix);
	}

	/**
	 * Apply the delayed commits whose conditions still hold.
	 */
	public void applyLateCommits() {
		this.lateCommits.forEach(this::apply);
		this.lateCommits.clear();
	}

	public void setDown(boolean isDown) {
		this.down = isDown;
	}

	public void setAnswersLost(boolean areLost) {
		this.answersLost = areLost;
	}

	public void setCommitsLate(boolean areLate) {
		this.commitsLate = areLate;
	}

	public int commits() {
		return this.commits;
	}

	public int rowsWritten() {
		return this.rowsWritten;
	}

	public int rowsRead() {
		return this.rowsRead;
	}

}
