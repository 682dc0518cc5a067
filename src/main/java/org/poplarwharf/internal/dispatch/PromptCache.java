package org.poplarwharf.internal.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import org.poplarwharf.internal.fleet.RequestTraits.PromptPart;

/**
 * A guess of the prompt parts that a target keeps: those last granted to it, as far as its memory goes.
 *
 * <p>Confined to one thread.
 */
final class PromptCache {
    private final long capacityTokens;
    private final LinkedHashMap<String, Long> parts = new LinkedHashMap<>(16, 0.75f, true);
    private long keptTokens;

    PromptCache(long capacityTokens) {
        this.capacityTokens = capacityTokens;
    }

    /** Returns the tokens of the prompt that the target must read; a part counts as kept if all before it are. */
    long tokensToRead(String weights, List<PromptPart> prompt, long promptTokens) {
        long kept = 0;
        for (PromptPart part : prompt) {
            if (!parts.containsKey(key(weights, part))) {
                break;
            }
            kept += part.tokens();
        }
        return Math.max(1, promptTokens - kept);
    }

    void granted(String weights, List<PromptPart> prompt) {
        for (PromptPart part : prompt) {
            Long before = parts.put(key(weights, part), part.tokens());
            keptTokens += part.tokens() - (before == null ? 0 : before);
        }
        var oldest = parts.entrySet().iterator();
        while (keptTokens > capacityTokens && oldest.hasNext()) {
            keptTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    /** Forgets what was kept for a model and its adapters. */
    void unloaded(String model) {
        parts.entrySet().removeIf(entry -> {
            boolean gone =
                    entry.getKey().startsWith(model + "|") || entry.getKey().startsWith(model + "/");
            keptTokens -= gone ? entry.getValue() : 0;
            return gone;
        });
    }

    private static String key(String weights, PromptPart part) {
        return weights + "|" + part.id();
    }
}
