/**
 * Parses and validates the operators' text.
 */
package org.monsoonrelay.logic.text;
