package org.poplarwharf.internal.gateway;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after its last response. With unread bytes, a close at once would be a reset, which may overtake the
 * response. So the output ends first, and the connection closes once the caller has closed it or after a short time.
 *
 * <p>Stateless; to be used on the event loop of the connection.
 */
final class LingeringClose {
    /** Long enough for a caller on the same network to read a response and close the connection. */
    private static final long MAX_LINGER_MILLIS = 500;

    private static final int LINGER_DISABLED = -1;

    private LingeringClose() {}

    /** Makes any close of the connection a reset, also that by the end of the process. */
    static void setResetOnClose(Channel channel, boolean enabled) {
        // A closed channel takes no options.
        if (channel.isActive()) {
            channel.config().setOption(ChannelOption.SO_LINGER, enabled ? 0 : LINGER_DISABLED);
        }
    }

    /** Closes the connection once the response has been written, or at once if that fails. */
    static void closeAfter(ChannelFuture written) {
        written.addListener(done -> close(written.channel(), done.isSuccess()));
    }

    private static void close(Channel channel, boolean responseWritten) {
        if (responseWritten && channel instanceof DuplexChannel duplex) {
            channel.config().setAutoRead(true);
            duplex.shutdownOutput();
            channel.eventLoop().schedule(() -> channel.close(), MAX_LINGER_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }
}
