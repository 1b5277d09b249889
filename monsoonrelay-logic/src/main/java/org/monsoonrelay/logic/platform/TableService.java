package org.monsoonrelay.logic.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table. Implementations are safe for use by several
 * threads. A returned future fails with {@link PlatformException} when no answer came; a
 * failed commit may have taken effect unless the exception says otherwise.
 */
public interface TableService {

	/**
	 * Read one row.
	 * @param key the row's key
	 * @return the row, if it exists
	 */
	CompletableFuture<Optional<Row>> read(String key);

	/**
	 * Read rows in the order of their keys.
	 * @param prefix the prefix that the keys share
	 * @param after the key after which to begin, empty for the first
	 * @param limit the most rows to return
	 * @return the rows
	 */
	CompletableFuture<List<Row>> scan(String prefix, String after, int limit);

	/**
	 * Write rows, all or none.
	 * @param writes the writes with their conditions
	 * @return what became of them
	 */
	CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes);

}
