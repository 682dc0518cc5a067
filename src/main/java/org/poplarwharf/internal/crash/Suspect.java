package org.poplarwharf.internal.crash;

/** What may crash each target that runs it. Immutable and thread-safe. */
public sealed interface Suspect {
    /** Returns the text by which nodes and records name this suspect; it has no slash. */
    String id();

    /**
     * Returns the suspect with an id. Releases that do not know prompt parts take their ids for fingerprints that no
     * request has.
     */
    static Suspect fromId(String id) {
        String[] hashes = id.startsWith(PromptPart.PREFIX) ? id.split("-", 3) : new String[0];
        return hashes.length == 3 ? new PromptPart(hashes[1], hashes[2]) : new WholeRequest(id);
    }

    /**
     * A request that its caller sends again and again.
     *
     * @param fingerprint see {@link RequestIdentity}
     */
    record WholeRequest(String fingerprint) implements Suspect {
        @Override
        public String id() {
            return fingerprint;
        }
    }

    /**
     * A part that the prompts of several requests share.
     *
     * @param serviceHash hash of the service whose targets run the requests; another service may run other software
     * @param partHash hash of the part's id
     */
    record PromptPart(String serviceHash, String partHash) implements Suspect {
        private static final String PREFIX = "part-";

        @Override
        public String id() {
            return PREFIX + serviceHash + "-" + partHash;
        }
    }
}
