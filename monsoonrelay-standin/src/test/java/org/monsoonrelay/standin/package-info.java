/**
 * Tests of the stand-ins.
 */
package org.monsoonrelay.standin;
