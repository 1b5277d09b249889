package org.monsoonrelay.logic.control;

import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;

/**
 * One version with its state, as a peer tells it. Immutable.
 *
 * @param head the head of the version
 * @param state the state of the version
 */
public record ControlVersion(ControlHead head, ControlState state) {

}
