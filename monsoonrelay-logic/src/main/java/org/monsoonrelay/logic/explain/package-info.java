/**
 * Tells the story of one job or request from the lines that processes have written.
 */
package org.monsoonrelay.logic.explain;
