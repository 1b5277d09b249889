package org.monsoonrelay.logic.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.monsoonrelay.logic.text.TextFault;
import org.monsoonrelay.model.control.ControlState;
import org.monsoonrelay.model.control.EditKind;
import org.monsoonrelay.model.workload.CellText;
import org.monsoonrelay.model.workload.Workload;
import org.monsoonrelay.model.workload.WorkloadKind;

/**
 * Checks that the targets of a stop or cancellation exist. A target that is already
 * stopped or cancelled is valid, so that retries are idempotent. Not thread-safe; one
 * instance checks one edit.
 */
final class TargetCheck {

	private final ControlState state;

	private final List<Workload> declared;

	TargetCheck(ControlState state, CellText text) {
		this.state = state;
		this.declared = text.workloads();
	}

	List<TextFault> faults(EditKind kind, List<String> targets) {
		List<TextFault> faults = new ArrayList<>();
		for (int index = 0; index < targets.size(); index++) {
			String pointer = "/targets/" + index;
			String target = targets.get(index);
			fault(kind, target).ifPresent((reason) -> faults.add(new TextFault(pointer, reason)));
		}
		return faults;
	}

	private Optional<String> fault(EditKind kind, String target) {
		return switch (kind) {
			case APPLY -> Optional.empty();
			case STOP -> stopFault(target);
			case CANCEL -> cancelFault(target);
		};
	}

	private Optional<String> stopFault(String name) {
		boolean known = this.state.stopped().contains(name)
				|| this.declared.stream().anyMatch((workload) -> workload.id().name().equals(name));
		return known ? Optional.empty() : undeclared(name);
	}

	private Optional<String> cancelFault(String target) {
		if (this.state.cancelled().contains(target)) {
			return Optional.empty();
		}
		for (Workload workload : this.declared) {
			boolean service = workload.kind() == WorkloadKind.SERVICE;
			if (service && workload.id().name().equals(target)) {
				return Optional.of("'" + target + "' is a service, which is stopped rather than cancelled");
			}
			if (workload.id().toString().equals(target)) {
				return Optional.empty();
			}
			if (workload.id().name().equals(target)) {
				return Optional.of("'" + target + "' lacks its run; '" + workload.id() + "' is declared");
			}
		}
		return undeclared(target);
	}

	private static Optional<String> undeclared(String target) {
		return Optional.of("'" + target + "' is not declared in the text in force");
	}

}
