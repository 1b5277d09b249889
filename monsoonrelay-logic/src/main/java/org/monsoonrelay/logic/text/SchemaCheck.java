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
 * Validates JSON documents against a schema from the class path. Thread-safe.
 */
public final class SchemaCheck {

	private static final String REASON_KEYWORD = "x-reason";

	private final JsonSchema schema;

	/**
	 * Load a schema.
	 * @param owner the class whose package contains the schema
	 * @param resource the file name of the schema
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
	 * Validate a document.
	 * @param document the JSON text
	 * @return the faults, empty if the document is valid
	 */
	public List<TextFault> check(String document) {
		try {
			JsonNode root = Json.MAPPER.readTree(document);
			if (root.isMissingNode()) {
				return List.of(new TextFault("", "the document is empty"));
			}
			return this.schema.validate(root).stream().map(SchemaCheck::fault).sorted(byPointerAndReason()).toList();
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
	 * Describe the fault of a document that is valid by the schema but cannot be mapped
	 * to its Java type.
	 * @param ex the mapping failure
	 * @return the fault with its location
	 */
	public static TextFault bindingFault(JsonProcessingException ex) {
		if (!(ex instanceof JsonMappingException mapping)) {
			return syntaxFault(ex);
		}
		StringBuilder pointer = new StringBuilder();
		for (JsonMappingException.Reference reference : mapping.getPath()) {
			pointer.append('/')
				.append((reference.getFieldName() != null) ? reference.getFieldName() : reference.getIndex());
		}
		return new TextFault(pointer.toString(),
				mapping.getOriginalMessage().lines().findFirst().orElse("cannot be read"));
	}

	private static TextFault syntaxFault(JsonProcessingException ex) {
		JsonLocation at = ex.getLocation();
		String location = (at != null) ? "line " + at.getLineNr() + ", column " + at.getColumnNr() + ": " : "";
		return new TextFault("", location + ex.getOriginalMessage().lines().findFirst().orElse("not JSON"));
	}

	private static Comparator<TextFault> byPointerAndReason() {
		return Comparator.comparing(TextFault::pointer).thenComparing(TextFault::reason);
	}

}
