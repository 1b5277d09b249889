package org.monsoonrelay.standin;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Command lines of the project's built programs. Immutable.
 *
 * @param projectRoot root of the built project
 */
record Programs(Path projectRoot) {

	private static final String JAVA = Path.of(System.getProperty("java.home"), "bin", "java").toString();

	/**
	 * The command line of a program.
	 * @param program its name, such as {@code gateway}
	 * @param jvmOptions options of the virtual machine
	 * @param arguments the program's arguments
	 * @return a builder for its process
	 */
	ProcessBuilder command(String program, List<String> jvmOptions, List<String> arguments) {
		List<String> command = new ArrayList<>(List.of(JAVA, "-XX:+UseSerialGC"));
		command.addAll(jvmOptions);
		command.addAll(List.of("-jar", jar(program).toString()));
		command.addAll(arguments);
		return new ProcessBuilder(command);
	}

	private Path jar(String program) {
		Path jar = this.projectRoot.resolve("monsoonrelay-" + program)
			.resolve("target")
			.resolve("monsoonrelay-" + program + "-0.1.0-SNAPSHOT-all.jar");
		if (!Files.exists(jar)) {
			throw new IllegalStateException("not built yet: " + jar);
		}
		return jar;
	}

}
