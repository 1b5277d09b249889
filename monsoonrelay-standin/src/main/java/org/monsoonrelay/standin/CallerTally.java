package org.monsoonrelay.standin;

import java.util.List;

import org.monsoonrelay.model.workload.ServiceDeclaration;

/**
 * What callers were told, set against what the backend servers counted. Immutable.
 *
 * @param requests requests sent
 * @param answered whole answers to the caller's own request
 * @param notRun requests said not to have run, or for which no gateway was reached
 * @param unknown requests said to have run perhaps
 * @param lost requests that were sent and got no answer
 * @param wrong answers that were cut or belong to another request
 * @param doubled requests of operations that may not be repeated that ran more than once
 * @param untrue requests said not to have run that ran, or answered that did not run
 */
public record CallerTally(int requests, int answered, int notRun, int unknown, int lost, int wrong, int doubled,
		int untrue) {

	/**
	 * Set answers against counts.
	 * @param service the service asked
	 * @param answers what the callers got
	 * @param counts what the backend servers counted since they started
	 * @return the tally
	 */
	public static CallerTally of(ServiceDeclaration service, List<CallerAnswer> answers, RequestCounts counts) {
		int doubled = 0;
		int untrue = 0;
		for (CallerAnswer answer : answers) {
			int runs = counts.runs(answer.operation(), answer.name());
			doubled += (runs > 1 && !isRepeatable(service, answer.operation())) ? 1 : 0;
			untrue += switch (answer.kind()) {
				case ANSWERED -> (runs == 0) ? 1 : 0;
				case NOT_RUN, UNREACHED -> (runs > 0) ? 1 : 0;
				default -> 0;
			};
		}
		return new CallerTally(answers.size(), count(answers, CallerAnswer.Kind.ANSWERED),
				count(answers, CallerAnswer.Kind.NOT_RUN) + count(answers, CallerAnswer.Kind.UNREACHED),
				count(answers, CallerAnswer.Kind.UNKNOWN), count(answers, CallerAnswer.Kind.LOST),
				count(answers, CallerAnswer.Kind.CUT) + count(answers, CallerAnswer.Kind.CROSSED), doubled, untrue);
	}

	private static boolean isRepeatable(ServiceDeclaration service, String operation) {
		return service.operations()
			.stream()
			.anyMatch((declared) -> declared.name().equals(operation) && declared.repeatable());
	}

	private static int count(List<CallerAnswer> answers, CallerAnswer.Kind kind) {
		return (int) answers.stream().filter((answer) -> answer.kind() == kind).count();
	}

}
