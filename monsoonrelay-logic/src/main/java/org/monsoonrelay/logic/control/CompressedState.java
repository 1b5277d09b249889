package org.monsoonrelay.logic.control;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import org.monsoonrelay.logic.platform.Json;
import org.monsoonrelay.model.control.ControlState;

/**
 * The form in which a state lies in the object store: compressed, because every process
 * fetches it after each change. Stateless and thread-safe.
 */
final class CompressedState {

	private CompressedState() {
	}

	static String compress(ControlState state) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (GZIPOutputStream packed = new GZIPOutputStream(bytes)) {
			packed.write(Json.write(state).getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("memory cannot be written", ex);
		}
		return Base64.getEncoder().encodeToString(bytes.toByteArray());
	}

	/**
	 * Read a packed state.
	 * @param content what {@link #compress} gave
	 * @return the state
	 * @throws IllegalArgumentException if the content is something else
	 */
	static ControlState decompress(String content) {
		byte[] bytes = Base64.getDecoder().decode(content);
		try (GZIPInputStream packed = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
			return Json.read(new String(packed.readAllBytes(), StandardCharsets.UTF_8), ControlState.class);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("not a packed state", ex);
		}
	}

}
