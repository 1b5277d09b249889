/**
 * Sessions of scheduler instances and the ownership that hangs on them.
 */
package org.monsoonrelay.model.membership;
