package org.poplarwharf.internal.log;

import com.codahale.metrics.MetricRegistry;
import io.activej.reactor.Reactor;
import org.apache.commons.rng.UniformRandomProvider;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.plugins.EventLog;

/**
 * The dependencies and settings of a stream. Its components are confined to the control thread.
 *
 * @param stream the stream's name in the log
 * @param writerId the id of the writing node or command, unique among the writers that run at the same time
 * @param incarnation a number that increases with each start of the writer
 * @param appendRateLimiter the rate limiter shared by all streams of a node
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
