package org.poplarwharf.internal.log;

import com.codahale.metrics.MetricRegistry;
import io.activej.reactor.Reactor;
import org.apache.commons.rng.UniformRandomProvider;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.plugins.EventLog;

/**
 * What a stream is made from. The parts belong to the control thread.
 *
 * @param stream the stream's name in the log
 * @param writerId the node or command that writes, unique among those that run at one time
 * @param incarnation grows with each start of the writer
 * @param appendRateLimiter shared by all streams of a node
 */
public record StreamContext(
        String stream,
        String writerId,
        long incarnation,
        EventLog log,
        Reactor reactor,
        MonotonicClock clock,
        AppendRateLimiter appendRateLimiter,
        UniformRandomProvider random,
        MetricRegistry metrics,
        StreamSettings settings) {}
