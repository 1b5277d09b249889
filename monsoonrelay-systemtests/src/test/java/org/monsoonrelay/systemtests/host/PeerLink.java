package org.monsoonrelay.systemtests.host;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.LinkedBlockingDeque;

/**
 * A connection between two hosts. Invariant: a direction that is forgotten stays so.
 * Guarded by the paths that it is part of.
 */
final class PeerLink {

	private static final int DIRECTIONS = 2;

	private final String caller;

	private final String target;

	private final Socket near;

	private final Socket far;

	private final Set<String> forgottenSenders = new HashSet<>();

	private int endedDirections;

	PeerLink(String caller, String target, Socket near, Socket far) {
		this.caller = caller;
		this.target = target;
		this.near = near;
		this.far = far;
	}

	/**
	 * Forget the directions between some hosts.
	 * @param from names of the hosts that send
	 * @param to names of the hosts that receive
	 */
	void forget(Set<String> from, Set<String> to) {
		if (from.contains(this.caller) && to.contains(this.target)) {
			this.forgottenSenders.add(this.caller);
		}
		if (from.contains(this.target) && to.contains(this.caller)) {
			this.forgottenSenders.add(this.target);
		}
	}

	boolean isForgotten(String sender) {
		return this.forgottenSenders.contains(sender);
	}

	/**
	 * Note that a direction has ended.
	 * @return whether both have
	 */
	boolean endOfDirection() {
		this.endedDirections++;
		if (this.endedDirections < DIRECTIONS) {
			return false;
		}
		close();
		return true;
	}

	void close() {
		closeQuietly(this.near);
		closeQuietly(this.far);
	}

	static void closeQuietly(AutoCloseable socket) {
		try {
			socket.close();
		}
		catch (Exception ex) {
			// it is closed already
		}
	}

	/**
	 * Write a message with its length in front.
	 * @param to where to
	 * @param text the message, a character for each byte
	 * @throws IOException if it cannot be written
	 */
	static void write(Socket to, String text) throws IOException {
		byte[] body = text.getBytes(StandardCharsets.ISO_8859_1);
		byte[] frame = new byte[body.length + 5];
		int position = 0;
		int length = body.length;
		while (length > 0x7f) {
			frame[position++] = (byte) (length & 0x7f | 0x80);
			length >>>= 7;
		}
		frame[position++] = (byte) length;
		System.arraycopy(body, 0, frame, position, body.length);
		to.getOutputStream().write(frame, 0, position + body.length);
	}

	/**
	 * A message, or the end of a direction.
	 *
	 * @param text the message, a character for each byte
	 * @param sentNanos when it was sent
	 * @param isEnd whether it is the end
	 */
	record Frame(String text, long sentNanos, boolean isEnd) {

		static Frame end() {
			return new Frame("", System.nanoTime(), true);
		}

	}

	/** The messages of one direction, read as they come. Thread-safe. */
	static final class Frames implements Runnable {

		private final Socket from;

		private final LinkedBlockingDeque<Frame> queue = new LinkedBlockingDeque<>();

		private volatile boolean ended;

		Frames(Socket from) {
			this.from = from;
		}

		@Override
		public void run() {
			try {
				InputStream input = new BufferedInputStream(this.from.getInputStream());
				while (true) {
					byte[] body = input.readNBytes(length(input));
					this.queue.add(new Frame(new String(body, StandardCharsets.ISO_8859_1), System.nanoTime(), false));
				}
			}
			catch (IOException ex) {
				this.ended = true;
				this.queue.add(Frame.end());
			}
		}

		private static int length(InputStream input) throws IOException {
			int length = 0;
			int shift = 0;
			int next;
			do {
				next = input.read();
				if (next < 0) {
					throw new EOFException("the connection ended");
				}
				length |= (next & 0x7f) << shift;
				shift += 7;
			}
			while (next > 0x7f);
			return length;
		}

		Frame take() throws InterruptedException {
			return this.queue.take();
		}

		/**
		 * The first message, which stays to be taken.
		 * @return the message
		 * @throws InterruptedException if the paths are closed meanwhile
		 */
		Frame first() throws InterruptedException {
			Frame first = this.queue.take();
			this.queue.addFirst(first);
			return first;
		}

		boolean hasEnded() {
			return this.ended;
		}

	}

}
