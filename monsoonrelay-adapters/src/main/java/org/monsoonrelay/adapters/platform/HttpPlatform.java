package org.monsoonrelay.adapters.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.ConditionalWrite;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.logic.platform.HostListService;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.ObjectStore;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.logic.platform.TableService;
import org.monsoonrelay.model.host.HostAddress;

/**
 * The platform's table service, object store and host list over HTTP. Thread-safe.
 */
public final class HttpPlatform implements TableService, ObjectStore, HostListService {

	private static final int MAXIMUM_CALLS = 64;

	private final HttpCalls calls;

	private final String base;

	public HttpPlatform(HostAddress address, Duration timeout) {
		this.calls = new HttpCalls(timeout, MAXIMUM_CALLS);
		this.base = address.url();
	}

	@Override
	public CompletableFuture<Optional<Row>> read(String key) {
		return this.calls.get(this.base + "/table/row?key=" + encode(key))
			.thenApply(
					(answer) -> answer.isFound() ? Optional.of(Json.read(answer.body(), Row.class)) : Optional.empty());
	}

	@Override
	public CompletableFuture<List<Row>> scan(String prefix, String after, int limit) {
		String query = "?prefix=" + encode(prefix) + "&after=" + encode(after) + "&limit=" + limit;
		return this.calls.get(this.base + "/table/rows" + query)
			.thenApply((answer) -> Json.read(answer.body(), TableMessages.Rows.class).rows());
	}

	@Override
	public CompletableFuture<CommitResult> commit(List<ConditionalWrite> writes) {
		return this.calls.post(this.base + "/table/transactions", new TableMessages.Transaction(writes))
			.thenApply((answer) -> {
				TableMessages.Versions versions = Json.read(answer.body(), TableMessages.Versions.class);
				return answer.isConflict() ? new CommitResult.Conflict(versions.versions())
						: new CommitResult.Committed(versions.versions());
			});
	}

	@Override
	public CompletableFuture<Void> put(String name, String content) {
		return this.calls.put(this.base + "/objects?name=" + encode(name), content).thenApply((answer) -> null);
	}

	@Override
	public CompletableFuture<Optional<String>> get(String name) {
		return this.calls.get(this.base + "/objects?name=" + encode(name))
			.thenApply((answer) -> answer.isFound() ? Optional.of(answer.body()) : Optional.empty());
	}

	@Override
	public CompletableFuture<Optional<HostList>> read(long knownVersion) {
		return this.calls.get(this.base + "/hosts?known=" + knownVersion)
			.thenApply((answer) -> answer.body().isEmpty() ? Optional.empty()
					: Optional.of(Json.read(answer.body(), HostList.class)));
	}

	private static String encode(String value) {
		return URLEncoder.encode(value, StandardCharsets.UTF_8);
	}

}
