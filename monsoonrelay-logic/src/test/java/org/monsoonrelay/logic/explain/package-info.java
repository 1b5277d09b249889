/**
 * Tests of the reconstruction of timelines from log lines.
 */
package org.monsoonrelay.logic.explain;
