package org.monsoonrelay.adapters.platform;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Notes whether a call may have put a byte of its request on the wire. Used by one call;
 * written by the call's thread before its result is read.
 */
final class SentMark extends EventListener {

	private volatile boolean mayHaveSent;

	@Override
	public void requestHeadersStart(Call call) {
		this.mayHaveSent = true;
	}

	boolean mayHaveSent() {
		return this.mayHaveSent;
	}

}
