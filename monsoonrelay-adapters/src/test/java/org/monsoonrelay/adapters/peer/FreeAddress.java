package org.monsoonrelay.adapters.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

import org.monsoonrelay.model.host.HostAddress;

/**
 * Finds addresses that a test can listen at, on a loopback address that belongs to its
 * process. A port that is free at 127.0.0.1 may be taken by any outgoing connection of
 * the machine before it is listened at, and between two listeners. Stateless.
 */
final class FreeAddress {

	private FreeAddress() {
	}

	static HostAddress find() {
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
