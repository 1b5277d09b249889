package org.monsoonrelay.logic.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.cfg.CoercionAction;
import com.fasterxml.jackson.databind.cfg.CoercionInputShape;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.type.LogicalType;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;

/**
 * The JSON mapping shared by all modules. Stateless and thread-safe.
 */
public final class Json {

	/**
	 * Strict mapper that rejects duplicate keys and unknown properties.
	 */
	public static final ObjectMapper MAPPER = JsonMapper.builder()
		.addModule(new JavaTimeModule())
		.enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private static final ObjectReader LENIENT = MAPPER.reader()
		.without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

	private static final ObjectMapper ROWS = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
		.enable(DeserializationFeature.FAIL_ON_NUMBERS_FOR_ENUMS)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
		.withCoercionConfig(LogicalType.Textual,
				(texts) -> texts.setCoercion(CoercionInputShape.Integer, CoercionAction.Fail)
					.setCoercion(CoercionInputShape.Float, CoercionAction.Fail)
					.setCoercion(CoercionInputShape.Boolean, CoercionAction.Fail))
		.build();

	private Json() {
	}

	/**
	 * Serialize a value.
	 * @param value the value
	 * @return its JSON text
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("value cannot be written as JSON: " + value.getClass(), ex);
		}
	}

	/**
	 * Parse a value written by this release, rejecting unknown properties.
	 * @param <T> type of the value
	 * @param text the JSON text
	 * @param type type of the value
	 * @return the value
	 * @throws IllegalArgumentException if the text is not such a value
	 */
	public static <T> T read(String text, Class<T> type) {
		try {
			return MAPPER.readValue(text, type);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("not a " + type.getSimpleName() + ": " + ex.getOriginalMessage(), ex);
		}
	}

	/**
	 * Parse a value written by another program, ignoring unknown properties.
	 * @param <T> type of the value
	 * @param text the JSON text
	 * @param type type of the value
	 * @return the value
	 * @throws JsonProcessingException if the text is not such a value
	 */
	public static <T> T readLeniently(String text, Class<T> type) throws JsonProcessingException {
		return requireValue(LENIENT.forType(type).readValue(text), type);
	}

	/**
	 * Parse a value written by a process of this project, possibly of another release.
	 * Unknown properties are ignored; values of a wrong type are rejected rather than
	 * coerced.
	 * @param <T> type of the value
	 * @param text the JSON text
	 * @param type type of the value
	 * @return the value
	 * @throws JsonProcessingException if the text is not such a value
	 */
	public static <T> T readRow(String text, Class<T> type) throws JsonProcessingException {
		return requireValue(ROWS.readValue(text, type), type);
	}

	private static <T> T requireValue(T value, Class<T> type) throws JsonProcessingException {
		if (value == null) {
			throw MismatchedInputException.from(null, type, "no value");
		}
		return value;
	}

}
