package org.monsoonrelay.logic.control;

import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

import org.monsoonrelay.logic.text.CellTextParser;
import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;

/**
 * Holds the active control state of this process. Invariant: the version never decreases,
 * in whatever order the responses of the platform and of peers arrive. Thread-safe: reads
 * are lock-free, changes are serialized.
 */
public final class ControlTracker {

	private final CellTextParser parser = new CellTextParser();

	private final CopyOnWriteArrayList<Consumer<ActiveControlState>> listeners = new CopyOnWriteArrayList<>();

	private volatile ActiveControlState active = ActiveControlState.NONE;

	/**
	 * Activate a version unless the active one is at least as high.
	 * @param head the head of that version
	 * @param state the state of that version
	 * @return {@code true} if this call activated the version
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
	 * The active control state.
	 * @return the highest version offered so far
	 */
	public ActiveControlState activeState() {
		return this.active;
	}

	/**
	 * Register a listener for newly activated versions. It is called on the thread that
	 * offers the version.
	 * @param listener the listener
	 */
	public void onChange(Consumer<ActiveControlState> listener) {
		this.listeners.add(listener);
	}

}
