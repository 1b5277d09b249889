package org.monsoonrelay.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import org.monsoonrelay.adapters.platform.TableMessages;
import org.monsoonrelay.logic.platform.CommitResult;
import org.monsoonrelay.logic.platform.HostList;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.platform.Row;
import org.monsoonrelay.model.host.Host;
import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.model.host.HostState;

/**
 * The platform: table service, object store and lagging host list in memory. Thread-safe.
 */
public final class PlatformStandin {

	private static final int NO_CONTENT = 204;

	private static final int UNAVAILABLE = 503;

	private static final int THREADS = 8;

	private final TableFake table = new TableFake();

	private final Map<String, String> objects = new ConcurrentHashMap<>();

	private final Map<String, Host> hosts = new TreeMap<>();

	private final int listLagMillis;

	private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);

	private final StandinServer server;

	private final AtomicInteger answersToLose = new AtomicInteger();

	private long listVersion;

	private volatile HostList visible = new HostList(0, List.of());

	private volatile PlatformFault fault = PlatformFault.NONE;

	public PlatformStandin(HostAddress address, int listLagMillis) {
		this.listLagMillis = listLagMillis;
		this.server = new StandinServer(address, Executors.newFixedThreadPool(THREADS))
			.route("/table/row", guarded(this::readRow))
			.route("/table/rows", guarded(this::scan))
			.route("/table/transactions", guarded(this::transaction))
			.route("/objects", guarded(this::objects))
			.route("/hosts", guarded(this::hostList))
			.route("/control/register", this::register)
			.route("/control/leaving", (exchange) -> change(exchange, HostState.LEAVING))
			.route("/control/remove", (exchange) -> change(exchange, null))
			.route("/control/fault", this::setFault)
			.route("/control/counters", (exchange) -> StandinServer.sendJson(exchange, 200,
					new Counters(this.table.commits(), this.table.rowsWritten(), this.table.reads())));
	}

	/**
	 * Listen.
	 */
	public void start() {
		this.server.start();
	}

	private HttpHandler guarded(HttpHandler handler) {
		return (exchange) -> {
			PlatformFault present = this.fault;
			if (present.frozen()) {
				return;
			}
			if (present.down()) {
				StandinServer.send(exchange, UNAVAILABLE, "down");
				return;
			}
			if (present.delayMillis() > 0) {
				this.timer.schedule(() -> {
					handler.handle(exchange);
					return null;
				}, present.delayMillis(), TimeUnit.MILLISECONDS);
				return;
			}
			handler.handle(exchange);
		};
	}

	private void hostList(HttpExchange exchange) throws IOException {
		HostList present = this.visible;
		if (Long.toString(present.version()).equals(StandinServer.query(exchange).get("known"))) {
			StandinServer.send(exchange, NO_CONTENT, "");
			return;
		}
		StandinServer.sendJson(exchange, 200, present);
	}

	private void readRow(HttpExchange exchange) throws IOException {
		Optional<Row> row = this.table.read(StandinServer.query(exchange).getOrDefault("key", ""));
		StandinServer.sendJson(exchange, row.isPresent() ? 200 : 404, row.orElse(null));
	}

	private void scan(HttpExchange exchange) throws IOException {
		Map<String, String> query = StandinServer.query(exchange);
		List<Row> rows = this.table.scan(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""),
				Integer.parseInt(query.getOrDefault("limit", "1000")));
		StandinServer.sendJson(exchange, 200, new TableMessages.Rows(rows));
	}

	private void transaction(HttpExchange exchange) throws IOException {
		TableMessages.Transaction request = Json.read(StandinServer.body(exchange), TableMessages.Transaction.class);
		CommitResult result = this.table.commit(request.writes());
		if (result instanceof CommitResult.Committed && this.answersToLose.getAndUpdate(PlatformStandin::less) > 0) {
			exchange.close();
			return;
		}
		if (result instanceof CommitResult.Committed committed) {
			StandinServer.sendJson(exchange, 200, new TableMessages.Versions(committed.versions()));
		}
		else {
			StandinServer.sendJson(exchange, 409,
					new TableMessages.Versions(((CommitResult.Conflict) result).versions()));
		}
	}

	private static int less(int count) {
		return Math.max(0, count - 1);
	}

	private void objects(HttpExchange exchange) throws IOException {
		String name = StandinServer.query(exchange).getOrDefault("name", "");
		if ("PUT".equals(exchange.getRequestMethod())) {
			this.objects.put(name, StandinServer.body(exchange));
			StandinServer.send(exchange, 200, "");
			return;
		}
		String content = this.objects.get(name);
		StandinServer.send(exchange, (content != null) ? 200 : 404, (content != null) ? content : "");
	}

	private void register(HttpExchange exchange) throws IOException {
		Host host = Json.read(StandinServer.body(exchange), Host.class);
		synchronized (this.hosts) {
			this.hosts.put(host.name(), host);
		}
		publishLater();
		StandinServer.send(exchange, 200, "");
	}

	private void change(HttpExchange exchange, HostState state) throws IOException {
		String name = StandinServer.query(exchange).getOrDefault("name", "");
		synchronized (this.hosts) {
			Host host = this.hosts.remove(name);
			if (host != null && state != null) {
				this.hosts.put(name, new Host(host.name(), host.address(), host.kind(), host.incarnation(),
						host.failureDomain(), host.rack(), host.service(), state, host.capacity()));
			}
		}
		publishLater();
		StandinServer.send(exchange, 200, "");
	}

	private void publishLater() {
		this.timer.schedule(() -> {
			synchronized (this.hosts) {
				if (!this.fault.listFrozen()) {
					this.visible = new HostList(++this.listVersion, new ArrayList<>(this.hosts.values()));
				}
			}
		}, this.listLagMillis, TimeUnit.MILLISECONDS);
	}

	private void setFault(HttpExchange exchange) throws IOException {
		PlatformFault next = Json.read(StandinServer.body(exchange), PlatformFault.class);
		this.answersToLose.set(next.loseAnswers());
		this.fault = next;
		publishLater();
		StandinServer.send(exchange, 200, "");
	}

	/**
	 * What the platform has counted.
	 *
	 * @param commits transactions asked for
	 * @param rowsWritten rows written
	 * @param reads reads and scans
	 */
	public record Counters(long commits, long rowsWritten, long reads) {

	}

}
