package org.monsoonrelay.scheduler;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Optional;

import org.monsoonrelay.scheduler.SchedulerSettings.OperatorCredential;

/**
 * Authenticates operators by bearer token. Invariant: a comparison takes the same time
 * for a wrong credential as for a correct one, and all operators are compared. Immutable
 * and thread-safe.
 */
final class OperatorAccess {

	private static final String BEARER = "Bearer ";

	private final List<OperatorCredential> operators;

	OperatorAccess(List<OperatorCredential> operators) {
		this.operators = List.copyOf(operators);
	}

	/**
	 * Authenticate an operator.
	 * @param authorization value of the {@code Authorization} header, empty if absent
	 * @return the operator's name, empty if the credential is wrong
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
