/**
 * Tests of accepting edits and following the active version.
 */
package org.monsoonrelay.logic.control;
