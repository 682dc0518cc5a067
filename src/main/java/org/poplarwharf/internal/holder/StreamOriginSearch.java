package org.poplarwharf.internal.holder;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.poplarwharf.internal.stream.StreamOrigin;
import org.poplarwharf.internal.stream.StreamOrigins;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Finds the software versions that began streams, for the lease holder. Asks the other nodes for a stream that it has no
 * record of, since a new holder knows only the streams that it has forwarded itself.
 *
 * <p>Invariant: each search has exactly one result, after a bounded time. Confined to the event loop.
 */
final class StreamOriginSearch implements StreamOrigins.Listener {
    /** Longer than nodes take to learn of a new holder, to connect to it and to respond. */
    private static final long MAX_WAIT_MILLIS = 1_000;

    /** A caller that is refused has most of its time left to try again or to begin anew. */
    private static final double MAX_WAIT_RATIO = 0.2;

    /** Bounds the questions to all nodes that requests with made-up ids can cause. */
    private static final int MAX_SEARCH_COUNT = 100;

    private final StreamOrigins origins;
    private final TopicFollower.Timer timer;
    private final Consumer<String> askNodes;
    private final Map<String, List<Search>> searchesByStreamId = new HashMap<>();

    private record Search(String service, Consumer<Optional<String>> callback) {}

    /** Creates a search; {@code askNodes} sends the id of a stream to all other nodes. */
    StreamOriginSearch(StreamOrigins origins, TopicFollower.Timer timer, Consumer<String> askNodes) {
        this.origins = origins;
        this.timer = timer;
        this.askNodes = askNodes;
        origins.addListener(this);
    }

    /** Passes the software version that began the stream to the callback, or nothing if no node knows it. */
    void find(String streamId, String service, long millisLeft, Consumer<Optional<String>> callback) {
        Optional<String> known = origins.softwareVersionOf(streamId, service);
        if (known.isPresent() || origins.find(streamId).isPresent() || searchesByStreamId.size() >= MAX_SEARCH_COUNT) {
            callback.accept(known);
            return;
        }
        Search search = new Search(service, callback);
        searchesByStreamId.computeIfAbsent(streamId, id -> new ArrayList<>()).add(search);
        askNodes.accept(streamId);
        timer.schedule(Math.min(MAX_WAIT_MILLIS, Math.round(millisLeft * MAX_WAIT_RATIO)), () -> end(streamId));
    }

    /** Returns the ids of the streams that are being searched for, for a node that has just connected. */
    Set<String> soughtStreamIds() {
        return Set.copyOf(searchesByStreamId.keySet());
    }

    /** Records the origin of a stream that a node has reported. */
    void record(StreamOrigin origin) {
        origins.record(origin);
    }

    @Override
    public void recorded(StreamOrigin origin) {
        end(origin.streamId());
    }

    @Override
    public void versionsLearned() {
        soughtStreamIds().forEach(streamId -> {
            boolean isCertain = searchesByStreamId.getOrDefault(streamId, List.of()).stream()
                    .anyMatch(search -> origins.onlyVersionOf(search.service()).isPresent());
            if (isCertain) {
                end(streamId);
            }
        });
    }

    private void end(String streamId) {
        List<Search> searches = searchesByStreamId.remove(streamId);
        if (searches != null) {
            searches.forEach(search -> search.callback().accept(origins.softwareVersionOf(streamId, search.service())));
        }
    }
}
