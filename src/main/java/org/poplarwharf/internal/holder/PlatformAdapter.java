package org.poplarwharf.internal.holder;

import java.net.InetSocketAddress;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.fleet.TargetEntry;
import org.poplarwharf.internal.gateway.HeaderCodec;
import org.poplarwharf.internal.http.PooledHttpClient;
import org.poplarwharf.internal.topic.KeyedLog;

/** The platform-specific functions that a node needs. Immutable; confined to the thread of its functions. */
public record PlatformAdapter(
        HeaderCodec headerNames,
        Function<PooledHttpClient, KeyedLog> logFactory,
        Function<PooledHttpClient, EngineClient> engineClientFactory,
        BiFunction<String, byte[], TargetEntry> targetDecoder,
        Function<byte[], FleetPlan> planDecoder,
        Function<String, InetSocketAddress> addressParser,
        Function<InetSocketAddress, String> addressFormatter,
        String planTopic,
        String targetTopic) {}
