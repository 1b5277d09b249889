/**
 * Tests of the peer network over loopback.
 */
package org.monsoonrelay.adapters.peer;
