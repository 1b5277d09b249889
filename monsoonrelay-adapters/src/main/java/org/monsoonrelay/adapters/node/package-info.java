/**
 * What every daemon does: follow the version in force and the host list, announce itself
 * to peers.
 */
package org.monsoonrelay.adapters.node;
