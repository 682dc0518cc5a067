package org.poplarwharf.internal.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Determines whether an address accepts or refuses connections. Confined to its event loop. */
public final class RefusalProbe {
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    private final EventLoop loop;

    public RefusalProbe(EventLoop loop) {
        this.loop = loop;
    }

    /** Connects and closes the connection; passes whether it was refused. Without a response it was not. */
    public void connect(InetSocketAddress address, Consumer<Boolean> refused) {
        SocketBootstraps.client(loop, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address)
                .addListener((ChannelFuture connecting) -> {
                    connecting.channel().close();
                    refused.accept(isRefused(connecting.cause()));
                });
    }

    /** Connects and closes the connection; passes whether it was established. */
    public void tryConnect(InetSocketAddress address, Consumer<Boolean> connected) {
        SocketBootstraps.client(loop, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address)
                .addListener((ChannelFuture connecting) -> {
                    connecting.channel().close();
                    connected.accept(connecting.isSuccess());
                });
    }

    /** Returns whether a connection failed since no process listens at the address. */
    public static boolean isRefused(Throwable cause) {
        return cause instanceof ConnectException
                && String.valueOf(cause.getMessage()).contains("refused");
    }
}
