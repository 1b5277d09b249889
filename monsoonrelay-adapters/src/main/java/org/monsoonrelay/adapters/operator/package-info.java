/**
 * Messages between the command line and the schedulers.
 */
package org.monsoonrelay.adapters.operator;
