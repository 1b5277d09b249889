package org.monsoonrelay.logic.pool;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class InheritedJobsTests {

	private static final long TAKE_OVER_VERSION = 10;

	private static InheritedJobs after(long formerOwnerStartMillis) {
		return new InheritedJobs(new TakeOver(OwnerRecord.NEVER_OWNED, TAKE_OVER_VERSION, 0, 0, OwnerRecord.NEVER_OWNED,
				0, 0, formerOwnerStartMillis, 0), 0);
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	@Test
	void areThoseStoredBeforeTheTakeOverIfTheFormerOwnerStartsNoYoungerOnes() {
		InheritedJobs jobs = after(0);
		assertThat(jobs.isInherited(TAKE_OVER_VERSION)).isTrue();
		assertThat(jobs.isInherited(TAKE_OVER_VERSION + 1)).isFalse();
	}

	@Test
	void includeJobsStoredWhileTheFormerOwnerMayStartThemWheneverTheyAreLearnt() {
		InheritedJobs jobs = after(2200);
		jobs.recordWrite(nanos(2199), 20);
		assertThat(jobs.isInherited(21)).isTrue();
		jobs.recordWrite(nanos(2200), 30);
		jobs.recordWrite(nanos(2600), 40);
		assertThat(jobs.isInherited(30)).isTrue();
		assertThat(jobs.isInherited(31)).isFalse();
	}

}
