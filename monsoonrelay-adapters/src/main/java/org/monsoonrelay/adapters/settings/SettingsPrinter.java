package org.monsoonrelay.adapters.settings;

import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.monsoonrelay.logic.platform.Json;

/**
 * Writes settings for people to read. Invariant: no secret is written. Stateless and
 * thread-safe.
 */
public final class SettingsPrinter {

	private static final Set<String> SECRETS = Set.of("secret", "token", "password");

	private static final String MASK = "***";

	private SettingsPrinter() {
	}

	/**
	 * Write settings.
	 * @param settings the settings
	 * @return the settings as JSON, with the secrets masked
	 */
	public static String print(Object settings) {
		JsonNode tree = Json.MAPPER.valueToTree(settings);
		mask(tree);
		return tree.toPrettyString();
	}

	private static void mask(JsonNode node) {
		if (node instanceof ObjectNode object) {
			SECRETS.stream().filter(object::has).forEach((name) -> object.put(name, MASK));
		}
		node.forEach(SettingsPrinter::mask);
	}

}
