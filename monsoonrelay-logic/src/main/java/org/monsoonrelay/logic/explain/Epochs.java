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
final class Epochs {

	private Epochs() {
	}

	/**
	 * Give such lines the epoch that their process names next, or that was told last.
	 * @param lines lines in the order in which they were read
	 * @return the lines in that order
	 */
	static List<Told> completed(List<Told> lines) {
		Map<String, Long> next = new HashMap<>();
		List<Told> completed = new ArrayList<>(lines);
		for (int i = lines.size() - 1; i >= 0; i--) {
			Told told = lines.get(i);
			if (Vocabulary.isGateways(told.line())) {
				continue;
			}
			if (told.epoch() == Told.NONE) {
				completed.set(i, new Told(told.line(), next.getOrDefault(told.line().source(), Told.NONE)));
			}
			else {
				next.put(told.line().source(), told.epoch());
			}
		}
		return named(completed);
	}

	private static List<Told> named(List<Told> lines) {
		Map<Long, String> owners = new HashMap<>();
		for (Told told : lines) {
			if (told.epoch() != Told.NONE && !told.line().source().equals(LineReader.NOBODY)) {
				owners.putIfAbsent(told.epoch(), told.line().source());
			}
		}
		long last = owners.keySet().stream().min(Long::compare).orElse(Told.NONE);
		List<Told> named = new ArrayList<>();
		for (Told told : lines) {
			boolean isNobodys = told.line().source().equals(LineReader.NOBODY) && !Vocabulary.isGateways(told.line());
			if (isNobodys && owners.containsKey(last)) {
				LogLine line = told.line();
				named.add(new Told(new LogLine(owners.get(last), line.number(), line.event(), line.fields()), last));
				continue;
			}
			last = (told.epoch() == Told.NONE) ? last : told.epoch();
			named.add(told);
		}
		return named;
	}

}
