package org.monsoonrelay.logic.platform;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's lagging host list. Implementations are safe for use by several threads;
 * futures fail with {@link PlatformException} when no answer came.
 */
public interface HostListService {

	/**
	 * Read the list, unless it is the one that is known.
	 * @param knownVersion version of the list that the caller has, 0 if none
	 * @return the list as the platform has it now, empty if its version is the known one
	 */
	CompletableFuture<Optional<HostList>> read(long knownVersion);

}
