package org.poplarwharf.internal.kernel;

import java.util.List;
import java.util.Optional;

/** Node settings for tests: the operating system assigns all ports. */
public final class TestSettings {
    private static final String ANY_PORT_ADDRESS = "127.0.0.1:0";

    private TestSettings() {}

    public static NodeSettings create(Optional<String> adminToken) {
        return new NodeSettings(
                "n1",
                "vm1",
                "a",
                ANY_PORT_ADDRESS,
                ANY_PORT_ADDRESS,
                ANY_PORT_ADDRESS,
                adminToken,
                List.of(),
                ANY_PORT_ADDRESS,
                ANY_PORT_ADDRESS,
                "http",
                "http",
                "openai",
                "least-in-flight",
                "fixed",
                1,
                3_000,
                300,
                1_000,
                500,
                300_000,
                5_000,
                200,
                1.5,
                4,
                4_194_304,
                3_600_000,
                Optional.empty(),
                0,
                1_800_000);
    }
}
