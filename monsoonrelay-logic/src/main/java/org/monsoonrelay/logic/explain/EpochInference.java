package org.monsoonrelay.logic.explain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Epochs and processes of owners' lines that do not tell them: those of an owner that
 * took the pool before the first line that was read, and those that have lost what names
 * their process. An epoch has one owner. Stateless and thread-safe.
 */
final class EpochInference {

	private EpochInference() {
	}

	/**
	 * Give such lines the epoch that their process names next, or that was told last.
	 * @param lines lines in the order in which they were read
	 * @return the lines in that order
	 */
	static List<EpochLine> inferMissing(List<EpochLine> lines) {
		Map<String, Long> next = new HashMap<>();
		List<EpochLine> completed = new ArrayList<>(lines);
		for (int i = lines.size() - 1; i >= 0; i--) {
			EpochLine told = lines.get(i);
			if (EventCategories.isIndependentOfOwner(told.line())) {
				continue;
			}
			if (told.epoch() == EpochLine.NO_EPOCH) {
				completed.set(i,
						new EpochLine(told.line(), next.getOrDefault(told.line().source(), EpochLine.NO_EPOCH)));
			}
			else {
				next.put(told.line().source(), told.epoch());
			}
		}
		return inferSources(completed);
	}

	private static List<EpochLine> inferSources(List<EpochLine> lines) {
		Map<Long, String> owners = new HashMap<>();
		for (EpochLine told : lines) {
			if (told.epoch() != EpochLine.NO_EPOCH && !told.line().source().equals(LogLineParser.UNKNOWN_SOURCE)) {
				owners.putIfAbsent(told.epoch(), told.line().source());
			}
		}
		long last = owners.keySet().stream().min(Long::compare).orElse(EpochLine.NO_EPOCH);
		List<EpochLine> named = new ArrayList<>();
		for (EpochLine told : lines) {
			boolean isNobodys = told.line().source().equals(LogLineParser.UNKNOWN_SOURCE)
					&& !EventCategories.isIndependentOfOwner(told.line());
			if (isNobodys && owners.containsKey(last)) {
				LogLine line = told.line();
				named.add(
						new EpochLine(new LogLine(owners.get(last), line.number(), line.event(), line.fields()), last));
				continue;
			}
			last = (told.epoch() == EpochLine.NO_EPOCH) ? last : told.epoch();
			named.add(told);
		}
		return named;
	}

}
