/**
 * Reading and checking the operators' text.
 */
package org.monsoonrelay.logic.text;
