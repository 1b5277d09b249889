/**
 * Tests of accepting edits and following the version in force.
 */
package org.monsoonrelay.logic.control;
