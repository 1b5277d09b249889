package org.monsoonrelay.logic.platform;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's lagging host list. Implementations are safe for use by several threads;
 * futures fail with {@link PlatformException} when no answer came.
 */
public interface HostListService {

	/**
	 * Read the list.
	 * @return the list as the platform has it now
	 */
	CompletableFuture<HostList> read();

}
