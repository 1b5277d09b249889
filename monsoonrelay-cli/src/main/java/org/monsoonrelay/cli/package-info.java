/**
 * The operators' command line.
 */
package org.monsoonrelay.cli;
