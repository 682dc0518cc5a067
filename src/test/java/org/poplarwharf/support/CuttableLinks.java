package org.poplarwharf.support;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.poplarwharf.process.FreePorts;

/**
 * The links of one node to all targets, which can be cut at once.
 *
 * <p>Invariant: bytes that a cut has held up are delivered after it, unless their connection was closed. Thread-safe.
 */
public final class CuttableLinks implements AutoCloseable {
    private static final Pattern ADDRESS = Pattern.compile("\"addr\":\"127\\.0\\.0\\.1:(\\d+)\"");

    /** Small enough to be filled quickly; the kernel leaves further connections without a response. */
    private static final int BACKLOG_COUNT = 16;

    private static final int FULL_TIMEOUT_MILLIS = 50;

    private static final int BUFFER_BYTES = 16_384;

    private final Map<Integer, Link> linkByTargetPort = new ConcurrentHashMap<>();
    private volatile Cut cut = Cut.NONE;

    /** How the links behave. */
    public enum Cut {
        NONE,
        /** Open connections and new ones get no response. */
        HANG,
        /** Open connections are reset, and new ones refused. */
        RESET,
        /** Open connections go on, and new ones are refused. */
        REFUSE_NEW
    }

    /** Returns a target's entry with the address of this node's link to it. */
    public String linked(String entry) {
        Matcher address = ADDRESS.matcher(entry);
        return address.replaceAll(found -> {
            Link link = linkByTargetPort.computeIfAbsent(Integer.valueOf(found.group(1)), this::newLink);
            return "\"addr\":\"127.0.0.1:" + link.port + "\"";
        });
    }

    private Link newLink(int targetPort) {
        try {
            Link link = new Link(targetPort);
            link.apply(cut);
            return link;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Cuts all links, or ends the cut. */
    public void set(Cut latest) throws IOException {
        cut = latest;
        for (Link link : linkByTargetPort.values()) {
            link.apply(latest);
        }
    }

    @Override
    public void close() throws IOException {
        for (Link link : linkByTargetPort.values()) {
            link.close();
        }
    }

    private final class Link {
        private final int targetPort;
        private final int port = FreePorts.port();
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private final List<Socket> fillers = new ArrayList<>();
        private ServerSocket listener;

        Link(int targetPort) {
            this.targetPort = targetPort;
        }

        synchronized void apply(Cut latest) throws IOException {
            for (Socket filler : fillers) {
                filler.close();
            }
            fillers.clear();
            switch (latest) {
                case NONE -> listen();
                case HANG -> fillBacklog();
                case RESET -> {
                    close();
                    resetConnections();
                }
                case REFUSE_NEW -> close();
            }
            notifyAll();
        }

        synchronized void close() throws IOException {
            if (listener != null) {
                listener.close();
            }
        }

        private void listen() throws IOException {
            if (listener != null && !listener.isClosed()) {
                return;
            }
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG_COUNT);
            accept(listener);
        }

        /** Opens connections, which are not accepted, until one gets no response. */
        private void fillBacklog() throws IOException {
            try {
                while (true) {
                    Socket filler = new Socket();
                    fillers.add(filler);
                    filler.connect(listener.getLocalSocketAddress(), FULL_TIMEOUT_MILLIS);
                }
            } catch (SocketTimeoutException e) {
                // The backlog is full.
            }
        }

        private void accept(ServerSocket accepting) {
            Thread.startVirtualThread(() -> {
                try {
                    while (true) {
                        Socket node = accepting.accept();
                        awaitDelivery();
                        Socket target = new Socket(InetAddress.getLoopbackAddress(), targetPort);
                        connections.add(node);
                        connections.add(target);
                        Thread.startVirtualThread(() -> forward(node, target));
                        Thread.startVirtualThread(() -> forward(target, node));
                    }
                } catch (IOException e) {
                    // The link was cut, or the target refuses connections.
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }

        private void forward(Socket from, Socket to) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try (from;
                    to) {
                from.setTcpNoDelay(true);
                to.setTcpNoDelay(true);
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    awaitDelivery();
                    out.write(buffer, 0, count);
                }
                awaitDelivery();
            } catch (IOException e) {
                // One end has closed the connection.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                connections.remove(from);
            }
        }

        private synchronized void awaitDelivery() throws InterruptedException {
            while (cut == Cut.HANG) {
                wait();
            }
        }

        private void resetConnections() throws IOException {
            for (Socket connection : connections) {
                try {
                    connection.setSoLinger(true, 0);
                    connection.close();
                } catch (SocketException e) {
                    // One end has closed the connection meanwhile.
                }
            }
        }
    }
}
