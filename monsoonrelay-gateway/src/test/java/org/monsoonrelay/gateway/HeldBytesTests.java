package org.monsoonrelay.gateway;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class HeldBytesTests {

	private final HeldBytes heldBytes = new HeldBytes(10);

	@Test
	void haveNoRoomBeyondTheirLimitUntilSomeAreReleased() {
		assertThat(this.heldBytes.tryHold(8)).isTrue();
		assertThat(this.heldBytes.tryHold(3)).isFalse();
		assertThat(this.heldBytes.tryHold(2)).isTrue();
		this.heldBytes.release(8);

		assertThat(this.heldBytes.tryHold(8)).isTrue();
	}

}
