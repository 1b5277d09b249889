package org.monsoonrelay.adapters.peer;

import java.util.concurrent.CompletableFuture;

import org.monsoonrelay.adapters.peer.generated.PeerMessages.Envelope;

/**
 * Answers peers' requests. Called on a network thread, which it must not block.
 */
public interface PeerHandler {

	/**
	 * Handle a request or a one-way message.
	 * @param from the peer
	 * @param request the message
	 * @return the reply's body; ignored for one-way messages
	 */
	CompletableFuture<Envelope.Builder> handle(PeerIdentity from, Envelope request);

}
