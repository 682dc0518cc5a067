package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.internal.codec.MessagePackCodec;
import org.poplarwharf.internal.crash.RequestSuspects;
import org.poplarwharf.internal.crash.TargetCrash;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.EngineReport;
import org.poplarwharf.internal.dispatch.OrderResult;
import org.poplarwharf.internal.dispatch.TargetSpeeds;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.GatewaySettings;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.limit.TargetLimits;
import org.poplarwharf.internal.stream.StreamOrigins;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.FakeKeyedLog;

/** Tests what shows a node that the process of the holder has ended, with sockets that the test resets and ends. */
@Timeout(30)
class HolderEndTest {
    private static final String HOLDER = "holder/1";

    /** Several attempts to connect again. */
    private static final long OBSERVATION_MILLIS = 1_500;

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final MonotonicClock clock = MonotonicClock.system();
    private final List<String> ended = new CopyOnWriteArrayList<>();
    private final FleetView view = new FleetView();
    private EngineTargetSelector selector;

    @BeforeEach
    void start() {
        DecisionLog log = new DecisionLog("n1", "z1", new PrintStream(OutputStream.nullOutputStream()));
        TargetLimits limits = new TargetLimits(() -> false, (target, requestsPerSecond) -> {});
        TargetSpeeds speeds = new TargetSpeeds((target, slow, estimate) -> {});
        StreamOrigins origins = new StreamOrigins(clock::nowMillis, service -> Optional.empty());
        HolderRole localHolder = new HolderRole(
                GatewaySettings.DEFAULTS,
                "n1/1",
                view,
                new NoEngines(),
                clock,
                this::schedule,
                log,
                new NoCrashes(),
                limits,
                speeds,
                origins);
        StreamOriginLookup lookup =
                new StreamOriginLookup(origins, new FakeKeyedLog(), clock::nowMillis, log, localHolder::isHolding);
        selector = new EngineTargetSelector(
                localHolder,
                view,
                loop,
                clock,
                this::schedule,
                log,
                limits,
                speeds,
                origins,
                lookup,
                new EndRecorder());
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully();
    }

    /** Guards against two holders: a path that is cut off with resets refuses connections while the holder lives. */
    @Test
    void holder_whose_connections_are_reset_and_refused_does_not_count_as_ended() throws Exception {
        RawHolder holder = new RawHolder();
        Socket connection = followResponding(holder);

        holder.stopListening();
        reset(connection);
        GatewayCluster.pause(OBSERVATION_MILLIS);

        assertThat(ended).isEmpty();
    }

    /** Guards against two holders: a node that has never reached the holder knows nothing of its end. */
    @Test
    void holder_that_refuses_the_first_connection_does_not_count_as_ended() throws Exception {
        RawHolder holder = new RawHolder();
        holder.stopListening();
        follow(holder, HOLDER);
        GatewayCluster.pause(OBSERVATION_MILLIS);

        assertThat(ended).isEmpty();
    }

    /** Guards against a wait for the term of a holder whose process was killed. */
    @Test
    void holder_that_ended_its_connection_and_refuses_others_has_ended() throws Exception {
        RawHolder holder = new RawHolder();
        Socket connection = followResponding(holder);

        holder.stopListening();
        connection.close();

        Eventually.eventually("the holder has ended", () -> ended.contains(HOLDER));
    }

    /** Guards against an end that is concluded from an earlier connection of a holder that has responded since. */
    @Test
    void holder_that_responded_after_an_ended_connection_does_not_count_as_ended_when_it_is_cut_off() throws Exception {
        RawHolder holder = new RawHolder();
        Socket first = followResponding(holder);
        first.close();
        Socket second = holder.accept();
        sendHeartbeat(second, HOLDER);
        Eventually.eventually("the holder responds again", selector::isHolderResponding);

        holder.stopListening();
        reset(second);
        GatewayCluster.pause(OBSERVATION_MILLIS);

        assertThat(ended).isEmpty();
    }

    /** Guards against a wait for the term of a holder whose process was restarted. */
    @Test
    void holder_at_whose_address_another_process_responds_has_ended() throws Exception {
        RawHolder holder = new RawHolder();
        Socket connection = followResponding(holder);
        reset(connection);
        sendHeartbeat(holder.accept(), "holder/2");

        Eventually.eventually("the holder has ended", () -> ended.contains(HOLDER));
        holder.stopListening();
    }

    /** Guards against the heartbeat of an earlier holder being taken for another process at the address of the next. */
    @Test
    void connection_that_was_being_opened_to_an_earlier_holder_shows_nothing_of_the_next_one() throws Exception {
        RawHolder earlier = new RawHolder();
        RawHolder next = new RawHolder();
        loop.execute(() -> {
            selector.start();
            selector.followHolder(earlier.address(), "earlier/1");
            selector.followHolder(next.address(), HOLDER);
        });
        Socket stale = earlier.accept();
        trySendHeartbeat(stale, "earlier/1");
        GatewayCluster.pause(OBSERVATION_MILLIS / 3);

        assertThat(ended).isEmpty();
        sendHeartbeat(next.accept(), HOLDER);
        Eventually.eventually("the next holder responds", selector::isHolderResponding);
        assertThat(ended).isEmpty();
        earlier.stopListening();
        next.stopListening();
    }

    /** Guards against a running process that ends a connection in the regular way, as only a process that ends does. */
    @Test
    void running_process_closes_connections_only_with_a_reset() throws Exception {
        RawHolder holder = new RawHolder();
        follow(holder, HOLDER);
        Socket connection = holder.accept();
        DataOutputStream out = new DataOutputStream(connection.getOutputStream());
        out.writeInt(3);
        out.write(new byte[] {1, 2, 3});
        out.flush();

        assertThat(readUntilEnd(connection)).isInstanceOf(IOException.class).hasMessageContaining("reset");
        holder.stopListening();
    }

    private void follow(RawHolder holder, String incarnation) {
        loop.execute(() -> {
            selector.start();
            selector.followHolder(holder.address(), incarnation);
        });
    }

    /** Follows a holder until it has responded, and returns its end of the connection. */
    private Socket followResponding(RawHolder holder) throws IOException {
        follow(holder, HOLDER);
        Socket connection = holder.accept();
        sendHeartbeat(connection, HOLDER);
        Eventually.eventually("the holder responds", selector::isHolderResponding);
        return connection;
    }

    private static void sendHeartbeat(Socket connection, String incarnation) throws IOException {
        byte[] frame = new MessagePackCodec<>(HolderMessage.class)
                .encode(new HolderMessage.Heartbeat(
                        "holder",
                        incarnation,
                        true,
                        2,
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty(),
                        Optional.empty()));
        DataOutputStream out = new DataOutputStream(connection.getOutputStream());
        out.writeInt(frame.length);
        out.write(frame);
        out.flush();
    }

    private static void trySendHeartbeat(Socket connection, String incarnation) {
        try {
            sendHeartbeat(connection, incarnation);
        } catch (IOException e) {
            // The node has closed the connection already.
        }
    }

    private static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    /** Reads until the connection ends, and returns the failure with which it ended; null after a regular end. */
    private static Exception readUntilEnd(Socket connection) {
        try {
            while (connection.getInputStream().read() >= 0) {
                // Skips what the node has sent.
            }
            return null;
        } catch (IOException e) {
            return e;
        }
    }

    private void schedule(long delayMillis, Runnable task) {
        loop.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
    }

    private static final class RawHolder {
        private final ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());

        RawHolder() throws IOException {}

        InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        Socket accept() throws IOException {
            return server.accept();
        }

        void stopListening() throws IOException {
            server.close();
        }
    }

    private final class EndRecorder implements HolderListener {
        @Override
        public void connected() {}

        @Override
        public void peersReported(List<HolderMessage.PeerState> peers) {}

        @Override
        public void holderEnded(String incarnation) {
            ended.add(incarnation);
        }

        @Override
        public void nodesReported(Nodes nodes) {
            // Not checked here.
        }

        @Override
        public void accountMessageReceived(AccountMessage message) {}

        @Override
        public void crashesAnnounced(HolderMessage.TargetCrashes announcement) {
            // Not checked here.
        }
    }

    private static final class NoEngines implements EngineClient {
        @Override
        public void sendOrder(EngineOrder order, String holder, long fencingNumber, Consumer<OrderResult> callback) {
            throw new UnsupportedOperationException("the node does not hold the lease");
        }

        @Override
        public void fetchReport(Target target, Consumer<Optional<EngineReport>> callback) {
            throw new UnsupportedOperationException("the node does not hold the lease");
        }
    }

    private static final class NoCrashes implements CrashListener {
        @Override
        public void runSucceeded(RequestSuspects suspects) {}

        @Override
        public void crashesReported(List<TargetCrash> crashes) {}

        @Override
        public List<TargetCrash> knownCrashes() {
            return List.of();
        }
    }
}
