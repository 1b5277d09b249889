/**
 * Tests of parsing and validating the operators' text.
 */
package org.monsoonrelay.logic.text;
