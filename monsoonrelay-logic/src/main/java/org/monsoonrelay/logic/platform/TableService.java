package org.monsoonrelay.logic.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's transactional table. Implementations are thread-safe. A returned future
 * fails with {@link PlatformException} if no answer arrives; a failed commit may have
 * taken effect unless the exception rules it out.
 */
public interface TableService {

	/**
	 * Read one row.
	 * @param key the row's key
	 * @return the row, empty if it does not exist
	 */
	CompletableFuture<Optional<Row>> read(String key);

	/**
	 * Read rows in the order of their keys.
	 * @param prefix the prefix that the keys share
	 * @param after the key after which to start, empty to start at the first key
	 * @param limit the maximum number of rows to return
	 * @return the rows
	 */
	CompletableFuture<List<Row>> scan(String prefix, String after, int limit);

	/**
	 * Write rows atomically.
	 * @param writes the writes with their conditions
	 * @return the outcome
	 */
	CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes);

}
