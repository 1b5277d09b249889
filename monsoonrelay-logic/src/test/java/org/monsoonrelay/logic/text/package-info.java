/**
 * Tests of reading and checking the operators' text.
 */
package org.monsoonrelay.logic.text;
