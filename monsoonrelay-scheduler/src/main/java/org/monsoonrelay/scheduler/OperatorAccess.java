package org.monsoonrelay.scheduler;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;

import org.monsoonrelay.scheduler.SchedulerSettings.OperatorCredential;

/**
 * Tells operators by the credential they show. Invariant: a comparison takes as long for
 * a wrong credential as for a right one, and goes through all operators. Immutable and
 * thread-safe.
 */
final class OperatorAccess {

	private static final String BEARER = "Bearer ";

	private final List<OperatorCredential> operators;

	OperatorAccess(List<OperatorCredential> operators) {
		this.operators = List.copyOf(operators);
	}

	/**
	 * Find the operator.
	 * @param authorization the header that the caller sent, empty if none
	 * @return the operator's name, empty for strangers
	 */
	Optional<String> authenticate(String authorization) {
		byte[] presented = authorization.getBytes(StandardCharsets.UTF_8);
		Optional<String> operator = Optional.empty();
		for (OperatorCredential candidate : this.operators) {
			byte[] expected = (BEARER + candidate.token()).getBytes(StandardCharsets.UTF_8);
			if (MessageDigest.isEqual(presented, expected)) {
				operator = Optional.of(candidate.name());
			}
		}
		return operator;
	}

}
