package org.monsoonrelay.adapters.http;

import java.net.InetSocketAddress;
import java.net.Proxy;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Notes whether a call may have put a byte of its request on the wire, and whether over a
 * connection that was open before. Used by one call; written by the call's thread before
 * its result is read.
 */
public final class RequestSendTracker extends EventListener {

	private volatile boolean mayHaveSent;

	private volatile boolean connected;

	@Override
	public void connectStart(Call call, InetSocketAddress address, Proxy proxy) {
		this.connected = true;
	}

	@Override
	public void requestHeadersStart(Call call) {
		this.mayHaveSent = true;
	}

	/**
	 * Whether a byte of the request may be on the wire.
	 * @return {@code false} if it is certain that none is
	 */
	public boolean mayHaveSent() {
		return this.mayHaveSent;
	}

	/**
	 * Whether the call went over a connection that was open before.
	 * @return {@code true} if so
	 */
	public boolean isOnReusedConnection() {
		return !this.connected;
	}

}
