/**
 * What runs tell about the declared run times of queues and the speed of workers.
 */
package org.monsoonrelay.logic.speeds;
