package org.poplarwharf.support;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a target that accepts connections after its crash, which a detector of crashes takes for no crash. */
@Timeout(30)
class ScriptedTargetTest {
    private static final int ROUND_COUNT = 300;

    @Test
    void crashed_target_refuses_connections_at_once() throws IOException {
        int acceptedCount = 0;
        for (int i = 0; i < ROUND_COUNT; i++) {
            try (ScriptedTarget target = new ScriptedTarget("i-0");
                    Socket connection = connect(target)) {
                assertThat(connection.isConnected()).isTrue();
                target.crash();
                acceptedCount += isAccepted(target) ? 1 : 0;
            }
        }

        assertThat(acceptedCount).isZero();
    }

    private static Socket connect(ScriptedTarget target) throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), target.port());
    }

    private static boolean isAccepted(ScriptedTarget target) throws IOException {
        try (Socket connection = connect(target)) {
            return connection.isConnected();
        } catch (ConnectException e) {
            return false;
        }
    }
}
