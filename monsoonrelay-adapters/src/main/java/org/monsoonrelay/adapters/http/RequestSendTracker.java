package org.monsoonrelay.adapters.http;

import java.net.InetSocketAddress;
import java.net.Proxy;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Records whether a call may have sent a byte of its request, and whether it used an
 * existing connection. Used by one call; written by the thread of the call before its
 * result is read.
 */
public final class RequestSendTracker extends EventListener {

	private volatile boolean mayHaveSent;

	private volatile boolean openedConnection;

	@Override
	public void connectStart(Call call, InetSocketAddress address, Proxy proxy) {
		this.openedConnection = true;
	}

	@Override
	public void requestHeadersStart(Call call) {
		this.mayHaveSent = true;
	}

	/**
	 * Whether a byte of the request may have been sent.
	 * @return {@code false} if certainly no byte was sent
	 */
	public boolean mayHaveSent() {
		return this.mayHaveSent;
	}

	/**
	 * Whether the call used a connection that was open before the call.
	 * @return {@code true} if the call opened no connection
	 */
	public boolean isOnReusedConnection() {
		return !this.openedConnection;
	}

}
