package org.monsoonrelay.logic.control;

import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.monsoonrelay.logic.text.CellTextParser;
import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;

/**
 * The version in force in this process. Invariant: the version never goes down, whatever
 * the order in which the platform's and the peers' words arrive. Thread-safe: reads are
 * lock-free, changes are serialized.
 */
public final class ControlTracker {

	private final CellTextParser parser = new CellTextParser();

	private final CopyOnWriteArrayList<Consumer<ActiveControlState>> listeners = new CopyOnWriteArrayList<>();

	private volatile ActiveControlState active = ActiveControlState.NONE;

	/**
	 * Put a version in force unless the present one is at least as high.
	 * @param head the head of that version
	 * @param state the state of that version
	 * @return {@code true} if it came into force now
	 */
	public synchronized boolean offer(ControlHead head, ControlState state) {
		if (head.version() <= this.active.head().version()) {
			return false;
		}
		ActiveControlState next = new ActiveControlState(head, state, this.parser.parseAccepted(state.text()));
		this.active = next;
		this.listeners.forEach((listener) -> listener.accept(next));
		return true;
	}

	/**
	 * What is in force now.
	 * @return the highest version offered so far
	 */
	public ActiveControlState activeState() {
		return this.active;
	}

	/**
	 * Be told of each new version, on the thread that offers it.
	 * @param listener the listener
	 */
	public void onChange(Consumer<ActiveControlState> listener) {
		this.listeners.add(listener);
	}

}
