package org.monsoonrelay.benchmarks.capacity;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToDoubleFunction;

import org.monsoonrelay.logic.idempotency.IdempotentRequestRouter;
import org.monsoonrelay.logic.routing.ForwardedRequest;
import org.monsoonrelay.model.request.RequestOutcome;
import org.monsoonrelay.model.request.TrafficClass;
import org.monsoonrelay.model.workload.Operation;

/**
 * What requests with an idempotency key ask of the table. Stateless.
 */
final class KeyedRequestSlopes {

	private static final int[] REQUESTS = { 200, 400, 800 };

	private static final int BODY_BYTES = 200;

	private static final Operation OPERATION = new Operation("confirm-booking", TrafficClass.APP, false, 60_000);

	private KeyedRequestSlopes() {
	}

	/**
	 * Transactions by requests with different keys.
	 * @return the slope
	 */
	static Slope transactions() {
		return over((platform) -> platform.table().commits());
	}

	/**
	 * Reads of rows by requests with different keys.
	 * @return the slope
	 */
	static Slope reads() {
		return over((platform) -> platform.table().reads());
	}

	/**
	 * Bytes written by requests with different keys whose rows hold few other keys, with
	 * answers of 200 bytes.
	 * @return the slope
	 */
	static Slope bytesWritten() {
		return over(CountingPlatform::bytesWritten);
	}

	private static Slope over(ToDoubleFunction<CountingPlatform> counted) {
		return Meter.over(REQUESTS, (count) -> {
			CountingPlatform platform = new CountingPlatform();
			RequestOutcome answer = new RequestOutcome.Answered(200, List.of(), new byte[BODY_BYTES]);
			IdempotentRequestRouter requests = new IdempotentRequestRouter(platform,
					(request) -> CompletableFuture.completedFuture(answer), InstantSource.system(),
					Duration.ofSeconds(1));
			for (int index = 0; index < count; index++) {
				byte[] body = ("booking " + index).getBytes(StandardCharsets.UTF_8);
				requests
					.route("key-" + index,
							new ForwardedRequest("request-" + index, "desk", OPERATION, "POST", "", List.of(), body,
									InstantSource.system().instant().plusSeconds(60)))
					.join();
			}
			return counted.applyAsDouble(platform);
		});
	}

}
