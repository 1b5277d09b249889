package org.monsoonrelay.adapters.platform;

import java.io.IOException;

import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Keeps a call to one exchange whose answer is its own. A connection on which an answer
 * waits that nothing asked for is closed before the request is sent; an answer that was
 * read before its request was sent belongs to another request and is dropped with its
 * connection. {@code Retry-After} is hidden from OkHttp, which would repeat a request by
 * itself when a 503 says 0. Stateless and thread-safe.
 */
final class SingleExchange implements Interceptor {

	static final String RETRY_AFTER = "Retry-After";

	static final String HIDDEN_RETRY_AFTER = "Monsoonrelay-Hidden-Retry-After";

	@Override
	public Response intercept(Chain chain) throws IOException {
		CountingSocket socket = (CountingSocket) chain.connection().socket();
		if (socket.hasUnread()) {
			socket.close();
			throw new IOException("an answer that nothing asked for waits on the connection");
		}
		long before = socket.bytesRead();
		Response response = chain.proceed(chain.request());
		if (socket.bytesRead() == before) {
			socket.close();
			throw new IOException("the answer was there before its request");
		}
		String retryAfter = response.header(RETRY_AFTER);
		return (retryAfter != null)
				? response.newBuilder().removeHeader(RETRY_AFTER).header(HIDDEN_RETRY_AFTER, retryAfter).build()
				: response;
	}

}
