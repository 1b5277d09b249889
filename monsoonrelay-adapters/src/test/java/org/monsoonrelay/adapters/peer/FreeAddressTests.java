package org.monsoonrelay.adapters.peer;

import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FreeAddressTests {

	/**
	 * A test that listened at three addresses was told once that one is in use. The
	 * kernel had given a port twice: of 40,000 times three addresses 18 held one twice.
	 */
	@Test
	void noAddressIsGivenTwice() {
		assertThat(Stream.generate(FreeAddress::find).limit(2000).toList()).doesNotHaveDuplicates();
	}

}
