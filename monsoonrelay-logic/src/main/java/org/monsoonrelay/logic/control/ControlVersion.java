package org.monsoonrelay.logic.control;

import org.monsoonrelay.model.control.ControlHead;
import org.monsoonrelay.model.control.ControlState;

/**
 * A version of the control state as sent by a peer. Immutable.
 *
 * @param head the head of the version
 * @param state the state of the version
 */
public record ControlVersion(ControlHead head, ControlState state) {

}
