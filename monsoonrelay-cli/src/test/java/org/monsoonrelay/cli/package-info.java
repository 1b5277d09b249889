/**
 * Tests of the operators' command line.
 */
package org.monsoonrelay.cli;
