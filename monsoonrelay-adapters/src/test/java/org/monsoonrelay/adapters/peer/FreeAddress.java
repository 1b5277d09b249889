package org.monsoonrelay.adapters.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.monsoonrelay.model.host.HostAddress;

/**
 * Finds addresses that a test can listen at, on a loopback address that belongs to its
 * process. A port that is free at 127.0.0.1 may be taken by any outgoing connection of
 * the machine before it is listened at, and between two listeners. Invariant: no address
 * is given twice, as the kernel may choose a port again that was free a moment ago.
 * Thread-safe.
 */
final class FreeAddress {

	private static final Set<HostAddress> GIVEN = ConcurrentHashMap.newKeySet();

	private FreeAddress() {
	}

	static HostAddress find() {
		HostAddress found = free();
		while (!GIVEN.add(found)) {
			found = free();
		}
		return found;
	}

	private static HostAddress free() {
		long pid = ProcessHandle.current().pid();
		String address = "127.%d.%d.2".formatted(1 + pid % 250, pid / 250 % 250);
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
			return new HostAddress(address, socket.getLocalPort());
		}
		catch (IOException ex) {
			throw new IllegalStateException("no port is free at " + address, ex);
		}
	}

}
