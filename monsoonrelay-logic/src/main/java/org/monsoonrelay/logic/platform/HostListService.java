package org.monsoonrelay.logic.platform;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's host list, which may lag behind the real state of the hosts.
 * Implementations are thread-safe; futures fail with {@link PlatformException} if no
 * answer arrives.
 */
public interface HostListService {

	/**
	 * Read the list unless the caller has the current version.
	 * @param knownVersion version of the list known to the caller, 0 if none
	 * @return the current list, empty if its version is the known one
	 */
	CompletableFuture<Optional<HostList>> read(long knownVersion);

}
