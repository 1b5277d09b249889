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
 * Encodes control states for the object store. They are compressed because every process
 * fetches the state after each change. Stateless and thread-safe.
 */
final class CompressedState {

	private CompressedState() {
	}

	static String compress(ControlState state) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
			gzip.write(Json.write(state).getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot compress the control state", ex);
		}
		return Base64.getEncoder().encodeToString(bytes.toByteArray());
	}

	/**
	 * Decode a compressed state.
	 * @param content the output of {@link #compress}
	 * @return the state
	 * @throws IllegalArgumentException if the content is not a compressed state
	 */
	static ControlState decompress(String content) {
		byte[] bytes = Base64.getDecoder().decode(content);
		try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
			return Json.read(new String(gzip.readAllBytes(), StandardCharsets.UTF_8), ControlState.class);
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("not a compressed control state", ex);
		}
	}

}
