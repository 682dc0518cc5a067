package org.poplarwharf.internal.crash;

import java.util.List;
import org.poplarwharf.internal.fleet.RequestTraits;

/**
 * The suspects of one request if its target crashes: the request itself and the parts that its prompt shares with others.
 *
 * <p>Invariant: a request has a bounded number of suspects. Hashes of parts are computed when they are first needed.
 * Confined to the event loop.
 */
public final class RequestSuspects {
    private static final byte[] NO_BODY = new byte[0];
    private static final int MAX_PROMPT_PART_COUNT = 32;

    private final String fingerprint;
    private final String service;
    private final RequestTraits traits;
    private List<Suspect.PromptPart> promptParts;

    /**
     * Creates the suspects of a request.
     *
     * @param fingerprint see {@link RequestIdentity}
     */
    public RequestSuspects(String fingerprint, String service, RequestTraits traits) {
        this.fingerprint = fingerprint;
        this.service = service;
        this.traits = traits;
    }

    /** Returns the request as a whole. */
    Suspect.WholeRequest wholeRequest() {
        return new Suspect.WholeRequest(fingerprint);
    }

    private static List<Suspect.PromptPart> promptPartsOf(String service, RequestTraits traits) {
        List<RequestTraits.PromptPart> shared = traits.sharedPromptParts();
        if (shared.isEmpty()) {
            return List.of();
        }
        String serviceHash = RequestFingerprint.of(List.of(service), NO_BODY);
        return shared.stream()
                .limit(MAX_PROMPT_PART_COUNT)
                .map(part -> new Suspect.PromptPart(serviceHash, RequestFingerprint.of(List.of(part.id()), NO_BODY)))
                .distinct()
                .toList();
    }

    /** Returns the first parts of the prompt that other requests may share. */
    List<Suspect.PromptPart> promptParts() {
        if (promptParts == null) {
            promptParts = promptPartsOf(service, traits);
        }
        return promptParts;
    }
}
