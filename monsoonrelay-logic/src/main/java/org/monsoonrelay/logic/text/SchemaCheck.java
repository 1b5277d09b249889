package org.monsoonrelay.logic.text;

import java.io.InputStream;
import java.util.Comparator;
import java.util.List;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import org.monsoonrelay.logic.platform.Json;

/**
 * Checks a JSON document against a schema that ships with the program. Thread-safe.
 */
public final class SchemaCheck {

	private static final String REASON_KEYWORD = "x-reason";

	private final JsonSchema schema;

	/**
	 * Load a schema.
	 * @param owner class beside which the schema lies
	 * @param resource the schema's file name
	 */
	public SchemaCheck(Class<?> owner, String resource) {
		InputStream stream = owner.getResourceAsStream(resource);
		if (stream == null) {
			throw new IllegalStateException("schema is missing: " + resource);
		}
		SchemaValidatorsConfig config = SchemaValidatorsConfig.builder()
			.pathType(PathType.JSON_POINTER)
			.errorMessageKeyword(REASON_KEYWORD)
			.build();
		this.schema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(stream, config);
	}

	/**
	 * Check a document.
	 * @param document the JSON text
	 * @return the faults, none if the document fits the schema
	 */
	public List<TextFault> check(String document) {
		try {
			JsonNode tree = Json.MAPPER.readTree(document);
			if (tree.isMissingNode()) {
				return List.of(new TextFault("", "the document is empty"));
			}
			return this.schema.validate(tree).stream().map(SchemaCheck::fault).sorted(byPlace()).toList();
		}
		catch (JsonProcessingException ex) {
			return List.of(syntaxFault(ex));
		}
	}

	private static TextFault fault(ValidationMessage message) {
		String pointer = message.getInstanceLocation().toString();
		return switch (message.getType()) {
			case "additionalProperties" -> new TextFault(pointer + "/" + message.getProperty(), "unknown key");
			case "required" -> new TextFault(pointer, "'" + message.getProperty() + "' is missing");
			default -> new TextFault(pointer, reason(pointer, message));
		};
	}

	private static String reason(String pointer, ValidationMessage message) {
		String text = message.getMessage();
		return text.startsWith(pointer + ": ") ? text.substring(pointer.length() + 2) : text;
	}

	/**
	 * The fault of a document that fits the schema but not the type behind it.
	 * @param ex why it could not be bound
	 * @return the fault with its place
	 */
	public static TextFault bindingFault(JsonProcessingException ex) {
		if (!(ex instanceof JsonMappingException mapping)) {
			return syntaxFault(ex);
		}
		StringBuilder pointer = new StringBuilder();
		for (JsonMappingException.Reference step : mapping.getPath()) {
			pointer.append('/').append((step.getFieldName() != null) ? step.getFieldName() : step.getIndex());
		}
		return new TextFault(pointer.toString(),
				mapping.getOriginalMessage().lines().findFirst().orElse("cannot be read"));
	}

	private static TextFault syntaxFault(JsonProcessingException ex) {
		JsonLocation at = ex.getLocation();
		String place = (at != null) ? "line " + at.getLineNr() + ", column " + at.getColumnNr() + ": " : "";
		return new TextFault("", place + ex.getOriginalMessage().lines().findFirst().orElse("not JSON"));
	}

	private static Comparator<TextFault> byPlace() {
		return Comparator.comparing(TextFault::pointer).thenComparing(TextFault::reason);
	}

}
