package org.monsoonrelay.host;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class ReleaseTests {

	private static final Path REPLACE = Path.of("..", "deploy", "replace.sh");

	@TempDir
	private Path directory;

	/**
	 * Guards against a host that ends with code 134 (SIGBUS) when a release is installed
	 * over the running one. The class archive is mapped into the process, and a page that
	 * is removed or changed in place causes a bus error. It ended five of six starts
	 * whose archive was overwritten in place, and none of six whose archive was replaced.
	 */
	@Test
	void mappedFileKeepsItsBytesWhenItIsReplaced() throws Exception {
		Path former = Files.writeString(this.directory.resolve("host.jsa"), "former");
		Path later = Files.writeString(this.directory.resolve("built.jsa"), "later one");
		ByteBuffer mapped = map(former);

		int code = new ProcessBuilder("sh", REPLACE.toString(), later.toString(), former.toString()).inheritIO()
			.start()
			.waitFor();

		assertThat(code).isZero();
		assertThat(StandardCharsets.UTF_8.decode(mapped).toString()).isEqualTo("former");
		assertThat(former).hasContent("later one");
		assertThat(this.directory).isDirectoryNotContaining("glob:**.new");
	}

	private static ByteBuffer map(Path file) throws IOException {
		try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
			return channel.map(FileChannel.MapMode.READ_ONLY, 0, channel.size());
		}
	}

}
