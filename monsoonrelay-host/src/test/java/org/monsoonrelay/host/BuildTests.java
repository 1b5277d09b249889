package org.monsoonrelay.host;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.nio.file.attribute.PosixFilePermissions;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Builds in trees that already hold the output of another release.
 */
class BuildTests {

	private static final Path ROOT = Path.of("..");

	private static final FileTime LONG_AGO = FileTime.from(Instant.parse("2020-01-01T00:00:00Z"));

	@TempDir
	private Path tree;

	private int run(String... command) throws IOException, InterruptedException {
		ProcessBuilder builder = new ProcessBuilder(command).directory(this.tree.toFile()).inheritIO();
		builder.environment().merge("PATH", this.tree.resolve("bin").toString(), (path, bin) -> bin + ':' + path);
		return builder.start().waitFor();
	}

	private String output(String... command) throws IOException, InterruptedException {
		Process process = new ProcessBuilder(command).directory(this.tree.toFile())
			.redirectError(ProcessBuilder.Redirect.INHERIT)
			.start();
		String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		assertThat(process.waitFor()).isZero();
		return output.strip();
	}

	private Path write(String file, String text) throws IOException {
		Path path = this.tree.resolve(file);
		Files.createDirectories(path.getParent());
		return Files.writeString(path, text);
	}

	private void writeTree() throws IOException {
		for (String script : List.of("build.sh", "install.sh", "replace.sh", "sources-digest.sh")) {
			write("deploy/" + script, Files.readString(ROOT.resolve("deploy").resolve(script)));
		}
		for (String file : List.of("pom.xml", "platform/pom.xml", "platform/src/main/java/Other.java",
				"monsoonrelay-host/pom.xml", "monsoonrelay-host/src/main/java/Source.java")) {
			write(file, file);
		}
	}

	@Nested
	class SourcesOlderThanTheClassesOfAnotherRelease {

		private static final String PART = """
				<project xmlns="http://maven.apache.org/POM/4.0.0">
					<modelVersion>4.0.0</modelVersion>
					<parent>
						<groupId>org.monsoonrelay</groupId>
						<artifactId>monsoonrelay</artifactId>
						<version>0.1.0-SNAPSHOT</version>
					</parent>
					<artifactId>part</artifactId>
				</project>
				""";

		@BeforeEach
		void createProject() throws IOException {
			String parent = Files.readString(ROOT.resolve("pom.xml"))
				.replaceAll("(?s)<modules>.*</modules>", "<modules><module>part</module></modules>");
			write("pom.xml", parent);
			write("part/pom.xml", PART);
		}

		private void build(String text) throws IOException, InterruptedException {
			Path source = write("part/src/main/java/part/Part.java",
					"package part; class Part { static final String TEXT = \"" + text + "\"; }");
			Files.setLastModifiedTime(source, LONG_AGO);
			assertThat(run("mvn", "-B", "-ntp", "-q", "-Dcheckstyle.skip", "-Dspring-javaformat.skip", "compile"))
				.isZero();
		}

		/**
		 * Guards against a program made of the classes of another release, as when an
		 * archive with the times of its commits is unpacked into a tree that was built
		 * before.
		 */
		@Test
		void areCompiledAnew() throws Exception {
			build("former");
			build("later");
			assertThat(Files.readString(BuildTests.this.tree.resolve("part/target/classes/part/Part.class"),
					StandardCharsets.ISO_8859_1))
				.contains("later")
				.doesNotContain("former");
		}

	}

	@Nested
	class ABuildThatFails {

		/**
		 * Guards against running the program of another release after a failed build.
		 */
		@Test
		void leavesNoProgram() throws Exception {
			writeTree();
			Path maven = write("bin/mvn", "#!/bin/sh\nexit 1\n");
			Files.setPosixFilePermissions(maven, PosixFilePermissions.fromString("rwxr-xr-x"));
			Path program = write("target/monsoonrelay-host.jar", "former");
			Path archive = write("target/monsoonrelay-host.jsa", "former");

			assertThat(run("sh", "deploy/build.sh")).isNotZero();

			assertThat(program).doesNotExist();
			assertThat(archive).doesNotExist();
		}

	}

	@Nested
	class TheDigestOfTheSources {

		private static final String SOURCE = "monsoonrelay-host/src/main/java/Source.java";

		private final List<String> digests = new ArrayList<>();

		private void digestWith(String source) throws Exception {
			Files.setLastModifiedTime(write(SOURCE, source), LONG_AGO);
			this.digests.add(output("sh", "deploy/sources-digest.sh"));
		}

		@Test
		void dependsOnTheirTextOnly() throws Exception {
			writeTree();
			digestWith("former");
			digestWith("later");
			Files.setLastModifiedTime(write("pom.xml", "pom.xml"), LONG_AGO);
			digestWith("former");

			assertThat(this.digests.get(0)).hasSize(12).isEqualTo(this.digests.get(2));
			assertThat(this.digests.get(1)).isNotEqualTo(this.digests.get(0));
		}

	}

}
