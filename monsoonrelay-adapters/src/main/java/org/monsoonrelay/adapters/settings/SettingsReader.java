package org.monsoonrelay.adapters.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.text.SchemaCheck;
import org.monsoonrelay.logic.text.TextFault;

/**
 * Reads a settings file, checks it against the program's schema and binds it.
 * Thread-safe.
 *
 * @param <T> type of the settings
 */
public final class SettingsReader<T> {

	private final Class<T> type;

	private final SchemaCheck schema;

	/**
	 * Create a reader.
	 * @param type type of the settings, beside which the schema lies
	 * @param schemaResource the schema's file name
	 */
	public SettingsReader(Class<T> type, String schemaResource) {
		this.type = type;
		this.schema = new SchemaCheck(type, schemaResource);
	}

	/**
	 * Read a file.
	 * @param file the file
	 * @return the settings
	 * @throws SettingsException if the file cannot be read or has faults, naming all
	 */
	public T read(Path file) {
		String document = content(file);
		List<TextFault> faults = this.schema.check(document);
		if (!faults.isEmpty()) {
			throw new SettingsException(
					file + ": " + faults.stream().map(TextFault::toString).collect(Collectors.joining("; ")));
		}
		try {
			return Json.read(document, this.type);
		}
		catch (IllegalArgumentException ex) {
			throw new SettingsException(file + ": " + ex.getMessage());
		}
	}

	private static String content(Path file) {
		try {
			return Files.readString(file);
		}
		catch (IOException ex) {
			throw new SettingsException(file + ": cannot be read: " + ex.getClass().getSimpleName());
		}
	}

}
