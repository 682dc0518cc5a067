package org.poplarwharf.process;

import java.util.List;

/**
 * Limits of a started process. Immutable and thread-safe.
 *
 * <p>A process whose heap is used up ends at once, so that a test sees this as the end of the process.
 */
record ProcessLimits(int heapMegabytes, int directMegabytes, int descriptorCount) {
    /** Returns the command that starts another one with the limit on descriptors. The process id stays the same. */
    List<String> launcher() {
        return List.of("/bin/sh", "-c", "ulimit -n " + descriptorCount + " && exec \"$@\"", "sh");
    }

    /** Returns the options of the Java runtime. The unpooled allocator is that of the deployed gateway. */
    String javaOptions() {
        return "-Xmx" + heapMegabytes + "m -XX:MaxDirectMemorySize=" + directMegabytes
                + "m -XX:+ExitOnOutOfMemoryError -Dio.netty.allocator.type=unpooled";
    }
}
