package org.monsoonrelay.logic.explain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Infers the epoch and the source of owners' lines where they are missing: the epoch of
 * an owner that acquired the pool before the first line that was read, and the source of
 * lines whose prefix was truncated. The source follows from the epoch because an epoch
 * has exactly one owner. Stateless and thread-safe.
 */
final class EpochInference {

	private EpochInference() {
	}

	/**
	 * Fill in missing epochs and sources. A line without an epoch gets the next epoch
	 * that its process names; a line without a source gets the latest epoch and its
	 * owner.
	 * @param lines lines in the order in which they were read
	 * @return the lines in the same order
	 */
	static List<EpochLine> inferMissing(List<EpochLine> lines) {
		Map<String, Long> next = new HashMap<>();
		List<EpochLine> completed = new ArrayList<>(lines);
		for (int i = lines.size() - 1; i >= 0; i--) {
			EpochLine entry = lines.get(i);
			if (EventCategories.isIndependentOfOwner(entry.line())) {
				continue;
			}
			if (entry.epoch() == EpochLine.NO_EPOCH) {
				completed.set(i,
						new EpochLine(entry.line(), next.getOrDefault(entry.line().source(), EpochLine.NO_EPOCH)));
			}
			else {
				next.put(entry.line().source(), entry.epoch());
			}
		}
		return inferSources(completed);
	}

	private static List<EpochLine> inferSources(List<EpochLine> lines) {
		Map<Long, String> owners = new HashMap<>();
		for (EpochLine entry : lines) {
			if (entry.epoch() != EpochLine.NO_EPOCH && !entry.line().source().equals(LogLineParser.UNKNOWN_SOURCE)) {
				owners.putIfAbsent(entry.epoch(), entry.line().source());
			}
		}
		long last = owners.keySet().stream().min(Long::compare).orElse(EpochLine.NO_EPOCH);
		List<EpochLine> completed = new ArrayList<>();
		for (EpochLine entry : lines) {
			boolean lacksSource = entry.line().source().equals(LogLineParser.UNKNOWN_SOURCE)
					&& !EventCategories.isIndependentOfOwner(entry.line());
			if (lacksSource && owners.containsKey(last)) {
				LogLine line = entry.line();
				completed.add(
						new EpochLine(new LogLine(owners.get(last), line.number(), line.event(), line.fields()), last));
				continue;
			}
			last = (entry.epoch() == EpochLine.NO_EPOCH) ? last : entry.epoch();
			completed.add(entry);
		}
		return completed;
	}

}
