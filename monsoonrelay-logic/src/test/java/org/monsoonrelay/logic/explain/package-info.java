/**
 * Tests of stories told from lines.
 */
package org.monsoonrelay.logic.explain;
