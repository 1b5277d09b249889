package org.monsoonrelay.benchmarks.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.ObjectStore;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.standin.TableFake;

/**
 * The platform in memory, answering at once, which counts calls, rows and bytes. Not
 * thread-safe.
 */
final class CountingPlatform implements TableService, ObjectStore {

	private final TableFake table = new TableFake();

	private final Map<String, String> objects = new HashMap<>();

	private long objectCalls;

	private long bytesWritten;

	private long bytesRead;

	@Override
	public CompletableFuture<Optional<Row>> read(String key) {
		Optional<Row> row = this.table.read(key);
		row.ifPresent((found) -> this.bytesRead += found.value().length());
		return CompletableFuture.completedFuture(row);
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		List<Row> rows = this.table.scan(prefix, after, limit);
		rows.forEach((row) -> this.bytesRead += row.value().length());
		return CompletableFuture.completedFuture(rows);
	}

	@Override
	public CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes) {
		writes.forEach((write) -> this.bytesWritten += write.value().length());
		return CompletableFuture.completedFuture(this.table.commit(writes));
	}

	@Override
	public CompletableFuture<Void> put(String name, String content) {
		this.objectCalls++;
		this.bytesWritten += content.length();
		this.objects.put(name, content);
		return CompletableFuture.completedFuture(null);
	}

	@Override
	public CompletableFuture<Optional<String>> get(String name) {
		this.objectCalls++;
		Optional<String> content = Optional.ofNullable(this.objects.get(name));
		content.ifPresent((found) -> this.bytesRead += found.length());
		return CompletableFuture.completedFuture(content);
	}

	TableFake table() {
		return this.table;
	}

	long objectCalls() {
		return this.objectCalls;
	}

	long bytesWritten() {
		return this.bytesWritten;
	}

	long bytesRead() {
		return this.bytesRead;
	}

}
