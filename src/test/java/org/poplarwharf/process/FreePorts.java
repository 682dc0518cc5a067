package org.poplarwharf.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds loopback addresses whose ports are free at the time of the call.
 *
 * <p>A port is free again until a node listens on it. So that no other test takes it meanwhile, each process draws its
 * ports from blocks that it locks until it ends, and draws none twice. Thread-safe.
 */
public final class FreePorts {
    private static final int LOWEST_PORT = 12_000;
    /** The system assigns ports from here on to outgoing connections. */
    static final int LOWEST_EPHEMERAL_PORT = 32_000;

    private static final int BLOCK_SIZE = 100;
    private static final int BLOCK_COUNT = (LOWEST_EPHEMERAL_PORT - LOWEST_PORT) / BLOCK_SIZE;

    /** The blocks of this process. The system releases their locks when the process ends. */
    private static final Map<Integer, FileLock> LOCKED_BLOCKS = new HashMap<>();

    private static int nextPort;
    private static int endPort;

    private FreePorts() {}

    /** Returns distinct addresses that no process listens on and that no test draws while this process runs. */
    public static synchronized List<String> addresses(int count) {
        List<String> addresses = new ArrayList<>();
        while (addresses.size() < count) {
            addresses.add("127.0.0.1:" + port());
        }
        return addresses;
    }

    /** Returns a port that no process listens on and that no test draws while this process runs. */
    public static synchronized int port() {
        while (true) {
            if (nextPort >= endPort) {
                lockBlock();
            }
            int port = nextPort++;
            if (isFree(port)) {
                return port;
            }
        }
    }

    /** Locks a block that no running process has locked. */
    private static void lockBlock() {
        int firstBlock = ThreadLocalRandom.current().nextInt(BLOCK_COUNT);
        for (int i = 0; i < BLOCK_COUNT; i++) {
            int block = (firstBlock + i) % BLOCK_COUNT;
            Optional<FileLock> lock = tryLock(block);
            if (lock.isPresent()) {
                LOCKED_BLOCKS.put(block, lock.get());
                nextPort = LOWEST_PORT + block * BLOCK_SIZE;
                endPort = nextPort + BLOCK_SIZE;
                return;
            }
        }
        throw new IllegalStateException("all " + BLOCK_COUNT + " blocks of ports are locked by running processes");
    }

    private static Optional<FileLock> tryLock(int block) {
        Path file = Path.of(System.getProperty("java.io.tmpdir"), "poplarwharf-test-ports-" + block + ".lock");
        if (LOCKED_BLOCKS.containsKey(block)) {
            return Optional.empty();
        }
        try {
            FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
            Optional<FileLock> lock = Optional.ofNullable(channel.tryLock());
            if (lock.isEmpty()) {
                channel.close();
            }
            return lock;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot lock " + file, e);
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
