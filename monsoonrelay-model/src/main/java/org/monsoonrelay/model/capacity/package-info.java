/**
 * Integer amounts of processors, memory and accelerators.
 */
package org.monsoonrelay.model.capacity;
