package org.monsoonrelay.standin;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ProcessGroupTests {

	private static final int KILLED = 128 + 9;

	private static final int TERMINATED = 128 + 15;

	private final ProcessGroup group = new ProcessGroup();

	@TempDir
	private Path folder;

	@AfterEach
	void endAll() {
		this.group.close();
	}

	/** A process that waits for input which never comes. */
	private Process startWaiting(String name) {
		this.group.start(name, new ProcessBuilder("cat"), this.folder.resolve(name));
		return this.group.get(name);
	}

	@Test
	void aKilledProcessIsDead() {
		Process process = startWaiting("a");
		this.group.kill("a");
		assertThat(process.isAlive()).isFalse();
		assertThat(this.group.exitCode("a")).isEqualTo(KILLED);
	}

	@Test
	void aProcessThatIsToldToStopEnds() {
		startWaiting("a");
		this.group.terminate("a");
		assertThat(this.group.exitCode("a")).isEqualTo(TERMINATED);
	}

	@Test
	void allEndWithTheGroupAlsoThoseThatArePaused() {
		Process running = startWaiting("a");
		Process paused = startWaiting("b");
		this.group.freeze("b");
		this.group.close();
		assertThat(running.isAlive()).isFalse();
		assertThat(paused.isAlive()).isFalse();
	}

	@Test
	void aPausedProcessGoesOnOnceItIsThawed() {
		startWaiting("a");
		this.group.freeze("a");
		this.group.terminate("a");
		this.group.thaw("a");
		assertThat(this.group.exitCode("a")).isEqualTo(TERMINATED);
	}

	@Test
	void bothOutputsOfAProcessAreKept() throws Exception {
		Path log = this.folder.resolve("log");
		this.group.start("a", new ProcessBuilder("sh", "-c", "echo out; echo err >&2"), log);
		assertThat(this.group.exitCode("a")).isZero();
		assertThat(Files.readAllLines(log)).containsExactly("out", "err");
	}

}
