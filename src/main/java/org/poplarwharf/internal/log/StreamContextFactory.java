package org.poplarwharf.internal.log;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeMetrics;
import org.poplarwharf.plugins.EventLog;

/**
 * Creates the contexts of a node's streams, which share one log client, one append rate limiter and one writer id.
 *
 * <p>Confined to the control thread.
 */
public final class StreamContextFactory {
    private static final double MAX_APPENDS_PER_SECOND = 50;

    private final NodeContext context;
    private final EventLog log;
    private final AppendRateLimiter appendRateLimiter;
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();

    private StreamContextFactory(NodeContext context, EventLog log) {
        this.context = context;
        this.log = log;
        this.appendRateLimiter = new AppendRateLimiter(context.clock(), MAX_APPENDS_PER_SECOND);
    }

    /** Returns the node's factory; the first call creates it and offers it in the node's context. */
    public static StreamContextFactory of(NodeContext context) {
        return context.findService(StreamContextFactory.class).orElseGet(() -> create(context));
    }

    private static StreamContextFactory create(NodeContext context) {
        String protocol = context.settings().logProtocol();
        EventLog.Factory factory = context.plugins()
                .find(EventLog.Factory.class, protocol)
                .orElseThrow(() -> Reporter.missingPlugin("log protocol '" + protocol + "'"));
        EventLog client =
                factory.create(context.controlLoop(), context.settings().logAddress());
        EventLog log = context.findService(NodeMetrics.class)
                .<EventLog>map(metrics -> new MeteredEventLog(client, metrics))
                .orElse(client);
        StreamContextFactory contextFactory = new StreamContextFactory(context, log);
        context.registerService(StreamContextFactory.class, contextFactory);
        return contextFactory;
    }

    /** Returns the context of a stream with default settings and the retention from the node's settings. */
    public StreamContext createContext(String stream) {
        long retentionMillis = context.settings().logRetentionMillis();
        return createContext(stream, StreamSettings.DEFAULT.withRetentionMillis(retentionMillis));
    }

    /** Returns the context of a stream, for {@link FoldingStream} and {@link Checkpointer}. */
    public StreamContext createContext(String stream, StreamSettings settings) {
        return new StreamContext(
                stream,
                context.settings().nodeId(),
                context.incarnation(),
                log,
                context.controlLoop(),
                context.clock(),
                appendRateLimiter,
                random,
                context.metrics(),
                settings);
    }
}
