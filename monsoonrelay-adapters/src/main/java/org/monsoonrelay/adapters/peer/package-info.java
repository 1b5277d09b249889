/**
 * Messages between the project's own processes: protobuf over Netty.
 */
package org.monsoonrelay.adapters.peer;
