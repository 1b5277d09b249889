/**
 * Tests of the logs.
 */
package org.monsoonrelay.adapters.logging;
