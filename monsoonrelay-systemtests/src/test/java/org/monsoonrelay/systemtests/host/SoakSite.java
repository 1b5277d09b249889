package org.monsoonrelay.systemtests.host;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;

import org.monsoonrelay.model.host.HostAddress;
import org.monsoonrelay.standin.LossyRelay;

/**
 * A few large and many small hosts, whose paths to each other and to the platform can be
 * disturbed. Confined to one thread.
 */
final class SoakSite implements AutoCloseable {

	/** The first hosts are large. */
	static final int LARGE_HOSTS = 2;

	private static final int FIRST_HOST = 10;

	private static final int FIRST_RELAY = 100;

	private final String net;

	private final PlatformFake platform;

	private final PeerPaths paths = new PeerPaths();

	private final List<SoakHost> hosts = new ArrayList<>();

	private final Map<String, LossyRelay> relays = new HashMap<>();

	SoakSite(int platformPort, int workers) {
		long pid = ProcessHandle.current().pid();
		this.net = "127.%d.%d.".formatted(1 + pid % 250, pid / 250 % 250);
		this.platform = new PlatformFake(this.net + 1, platformPort, workers);
	}

	/**
	 * Add a host, which is not started.
	 * @param folder for its settings and log
	 * @param timer starts its program again
	 * @param faults told of what must not happen
	 */
	void addHost(Path folder, ScheduledExecutorService timer, Consumer<String> faults) {
		int number = this.hosts.size();
		String name = "host-" + number;
		String ip = this.net + (FIRST_HOST + number);
		String relayIp = this.net + (FIRST_RELAY + number);
		this.paths.add(name, ip);
		HostAddress target = this.platform.listenForRelay(relayIp, name, this.paths);
		LossyRelay relay = new LossyRelay(new HostAddress(relayIp, target.port()), target);
		this.relays.put(name, relay);
		SoakHost.Size size = (number < LARGE_HOSTS) ? SoakHost.Size.LARGE : SoakHost.Size.SMALL;
		this.hosts.add(new SoakHost(name, ip, relay.address().toString(), size, folder, timer, faults));
	}

	List<SoakHost> hosts() {
		return this.hosts;
	}

	PlatformFake platform() {
		return this.platform;
	}

	PeerPaths paths() {
		return this.paths;
	}

	/**
	 * The path from a host to the platform.
	 * @param host the host's name
	 * @return the path
	 */
	LossyRelay platformPath(String host) {
		return this.relays.get(host);
	}

	@Override
	public void close() {
		this.hosts.forEach(SoakHost::close);
		this.relays.values().forEach(LossyRelay::close);
		this.paths.close();
		this.platform.close();
	}

}
