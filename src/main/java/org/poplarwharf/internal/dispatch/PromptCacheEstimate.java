package org.poplarwharf.internal.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import org.poplarwharf.internal.fleet.RequestTraits.PromptPart;

/**
 * Estimates which prompt parts a target has cached: the most recently granted ones that fit into its cache.
 *
 * <p>Confined to one thread.
 */
final class PromptCacheEstimate {
    private final long capacityTokens;
    private final LinkedHashMap<String, Long> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long cachedTokens;

    PromptCacheEstimate(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /**
     * Returns the prompt tokens that the target must prefill. A part counts as cached only if all parts before it are.
     */
    long uncachedTokens(String weights, List<PromptPart> prompt, long promptTokens) {
        long cached = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(key(weights, part))) {
                break;
            }
            cached += part.tokens();
        }
        return Math.max(1, promptTokens - cached);
    }

    /** Adds the parts of a granted prompt and evicts the least recently used parts beyond the capacity. */
    void add(String weights, List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            Long previousTokens = parts.put(key(weights, part), part.tokens());
            cachedTokens += part.tokens() - (previousTokens == null ? 0 : previousTokens);
        }
        var oldest = parts.entrySet().iterator();
        while (cachedTokens > capacityTokens && oldest.hasNext()) {
            cachedTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    /** Removes all parts that were cached for a model and its adapters. */
    void removeModel(String model) {
        parts.entrySet().removeIf(entry -> {
            boolean removed =
                    entry.getKey().startsWith(model + "|") || entry.getKey().startsWith(model + "/");
            cachedTokens -= removed ? entry.getValue() : 0;
            return removed;
        });
    }

    private static String key(String weights, PromptPart part) {
        return weights + "|" + part.id();
    }
}
