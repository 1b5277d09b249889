/**
 * Sessions of scheduler instances and the ownership that is bound to them.
 */
package org.monsoonrelay.model.membership;
