package org.monsoonrelay.adapters.platform;

import java.util.concurrent.TimeUnit;

import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;

/**
 * The pooled connections to one backend server. When an attempt has timed out, all that
 * were open then are given up, since something between the ends may have lost track of
 * them: later attempts open fresh ones, and the old ones close as soon as they are idle.
 * Thread-safe.
 */
final class ServerConnections {

	private static final int MAXIMUM_IDLE = 16;

	/** Shorter than the time after which servers commonly close an idle connection. */
	private static final int KEEP_ALIVE_SECONDS = 4;

	private final OkHttpClient base;

	private OkHttpClient current;

	ServerConnections(OkHttpClient base) {
		this.base = base;
		this.current = fresh();
	}

	private OkHttpClient fresh() {
		return this.base.newBuilder()
			.connectionPool(new ConnectionPool(MAXIMUM_IDLE, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
			.build();
	}

	synchronized OkHttpClient client() {
		return this.current;
	}

	/**
	 * Note that an attempt has ended.
	 * @param used the client it used
	 * @param timedOut whether it timed out after its request was sent
	 */
	synchronized void ended(OkHttpClient used, boolean timedOut) {
		if (timedOut && used == this.current) {
			this.current = fresh();
		}
		if (used != this.current) {
			used.connectionPool().evictAll();
		}
	}

	synchronized void close() {
		this.current.connectionPool().evictAll();
	}

}
