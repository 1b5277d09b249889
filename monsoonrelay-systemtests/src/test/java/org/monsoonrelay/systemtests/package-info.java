/**
 * Tests of the layers and of the path across processes.
 */
package org.monsoonrelay.systemtests;
