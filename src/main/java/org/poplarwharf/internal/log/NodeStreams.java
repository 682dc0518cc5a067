package org.poplarwharf.internal.log;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.kernel.NodeMetrics;
import org.poplarwharf.plugins.EventLog;

/**
 * Makes the streams of one node, so that they share one log client, one budget of appends and one writer name.
 *
 * <p>Belongs to the control thread.
 */
public final class NodeStreams {
    private static final double APPENDS_PER_SECOND = 50;

    private final NodeContext context;
    private final EventLog log;
    private final AppendBudget budget;
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();

    private NodeStreams(NodeContext context, EventLog log) {
        this.context = context;
        this.log = log;
        this.budget = new AppendBudget(context.clock(), APPENDS_PER_SECOND);
    }

    /** Returns the node's streams; the first caller makes and offers them. */
    public static NodeStreams of(NodeContext context) {
        return context.find(NodeStreams.class).orElseGet(() -> create(context));
    }

    private static NodeStreams create(NodeContext context) {
        String protocol = context.settings().logProtocol();
        EventLog.Factory factory = context.plugins()
                .find(EventLog.Factory.class, protocol)
                .orElseThrow(() -> Reporter.missingPlugin("log protocol '" + protocol + "'"));
        EventLog client = factory.create(context.control(), context.settings().logAddress());
        EventLog log = context.find(NodeMetrics.class)
                .<EventLog>map(metrics -> new MeteredLog(client, metrics))
                .orElse(client);
        NodeStreams streams = new NodeStreams(context, log);
        context.offer(NodeStreams.class, streams);
        return streams;
    }

    /** Returns the parts of a stream with this node's setting for the log's retention. */
    public StreamParts parts(String stream) {
        long retentionMillis = context.settings().logRetentionMillis();
        return parts(stream, StreamSettings.DEFAULT.withRetentionMillis(retentionMillis));
    }

    /** Returns the parts of a stream, for {@link FoldingStream} and {@link Checkpointer}. */
    public StreamParts parts(String stream, StreamSettings settings) {
        return new StreamParts(
                stream,
                context.settings().nodeId(),
                context.incarnation(),
                log,
                context.control(),
                context.clock(),
                budget,
                random,
                context.metrics(),
                settings);
    }
}
