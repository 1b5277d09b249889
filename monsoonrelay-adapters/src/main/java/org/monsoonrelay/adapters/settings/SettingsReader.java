package org.monsoonrelay.adapters.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.logic.text.SchemaCheck;
import org.monsoonrelay.logic.text.TextFault;

/**
 * Reads a settings file, checks it against the program's schema and rules and binds it.
 * Thread-safe.
 *
 * @param <T> type of the settings
 */
public final class SettingsReader<T extends CheckedSettings> {

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
		List<TextFault> faults = new ArrayList<>(this.schema.check(document));
		try {
			T settings = Json.readLeniently(document, this.type);
			faults.addAll(settings.faults());
			if (faults.isEmpty()) {
				return settings;
			}
		}
		catch (JsonProcessingException ex) {
			if (faults.isEmpty()) {
				faults.add(SchemaCheck.bindingFault(ex));
			}
		}
		throw new SettingsException(
				file + ": " + faults.stream().map(TextFault::toString).collect(Collectors.joining("; ")));
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
