package org.monsoonrelay.adapters.platform;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;

import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;

/**
 * The pooled connections to one backend server, in generations. When an attempt has timed
 * out, or connections elsewhere have gone silent, all that are open are given up, since
 * something between the ends may have lost track of them: later attempts open fresh ones,
 * and the old ones close as soon as they are idle. Thread-safe.
 */
final class ServerConnections {

	private static final int MAXIMUM_IDLE = 16;

	private final OkHttpClient base;

	private final InstantSource clock;

	private final Duration keepAlive;

	private Generation current;

	ServerConnections(OkHttpClient base, InstantSource clock, Duration keepAlive, long suspicions) {
		this.base = base;
		this.clock = clock;
		this.keepAlive = keepAlive;
		this.current = new Generation(fresh(), suspicions);
	}

	private OkHttpClient fresh() {
		return this.base.newBuilder()
			.connectionPool(new ConnectionPool(MAXIMUM_IDLE, this.keepAlive.toMillis(), TimeUnit.MILLISECONDS))
			.build();
	}

	/**
	 * The connections to use.
	 * @param suspicions how often connections have gone silent, at whatever server
	 * @return connections that were opened after the last time
	 */
	synchronized Generation generation(long suspicions) {
		if (this.current.suspicions < suspicions) {
			renew(suspicions);
		}
		return this.current;
	}

	synchronized void answered(Generation used) {
		used.lastAnswer = this.clock.instant();
		closeIfOld(used);
	}

	synchronized void failed(Generation used) {
		closeIfOld(used);
	}

	/**
	 * Tell whether connections have gone silent, rather than one attempt being slow.
	 * @param used the connections that an attempt used
	 * @param begun when the attempt began
	 * @return {@code true} if no answer came over any of them in its second half
	 */
	synchronized boolean areSilent(Generation used, Instant begun) {
		Instant now = this.clock.instant();
		return !used.lastAnswer.isAfter(begun.plus(Duration.between(begun, now).dividedBy(2)));
	}

	/**
	 * Give up the connections that an attempt has timed out on.
	 * @param used the connections
	 * @param suspicions how often connections have gone silent by now
	 */
	synchronized void giveUp(Generation used, long suspicions) {
		if (used == this.current) {
			renew(suspicions);
		}
		closeIfOld(used);
	}

	private void renew(long suspicions) {
		Generation old = this.current;
		this.current = new Generation(fresh(), suspicions);
		closeIfOld(old);
	}

	private void closeIfOld(Generation used) {
		if (used != this.current) {
			used.client.connectionPool().evictAll();
		}
	}

	synchronized void close() {
		this.current.client.connectionPool().evictAll();
	}

	/**
	 * Connections that are given up together. Its fields are guarded by its owner.
	 */
	static final class Generation {

		private final OkHttpClient client;

		private final long suspicions;

		private Instant lastAnswer = Instant.MIN;

		private Generation(OkHttpClient client, long suspicions) {
			this.client = client;
			this.suspicions = suspicions;
		}

		long suspicions() {
			return this.suspicions;
		}

		OkHttpClient client() {
			return this.client;
		}

	}

}
