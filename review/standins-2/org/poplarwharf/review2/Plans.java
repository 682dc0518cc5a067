package org.poplarwharf.review2;

import java.util.ArrayList;
import java.util.List;

/** Configurations of the operator, with the figures of a small deployment. */
final class Plans {
    private Plans() {}

    /** Returns a plan with a resumable streaming route {@code /SERVICE/} to each service with engines. */
    static String plan(List<String> services, int modelCount) {
        return plan(services, modelCount, Engine.SLOTS);
    }

    static String plan(List<String> services, int modelCount, int slots) {
        List<String> models = new ArrayList<>();
        for (int i = 0; i < modelCount; i++) {
            models.add("{\"name\":\"m" + i + "\",\"weightsMb\":16100.0,\"loadS\":6.0,\"adapters\":0,"
                    + "\"adapterMb\":14.0,\"warmS\":0.27,\"diskS\":0.35}");
        }
        List<String> routes = new ArrayList<>();
        List<String> specs = new ArrayList<>();
        for (String service : services) {
            routes.add("{\"name\":\"r-" + service + "\",\"host\":\"review.example\",\"pathPrefix\":\"/" + service
                    + "/\",\"kind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":2000,\"priority\":1,"
                    + "\"service\":\"" + service + "\",\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,"
                    + "\"gapAimMs\":400}");
            specs.add("{\"name\":\"" + service + "\",\"healthPath\":\"/health\",\"maxConns\":500,"
                    + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":" + slots
                    + ",\"kvCapacity\":200681,\"kvTokenBytes\":131072,\"linkMbps\":1100000.0,\"moves\":true,"
                    + "\"backups\":true,\"stride\":5,\"maxCount\":12,\"hostMb\":61000.0,\"diskMb\":240000.0,"
                    + "\"pinMs\":4000.0,\"holdMs\":2000.0,\"handle_s\":5.0,\"weightsMb\":58000.0,"
                    + "\"adapterSlots\":8,\"loadsPerS\":2.8,\"models\":[" + String.join(",", models) + "]}}");
        }
        return "{\"version\":1,\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"
                + "\"headerTimeoutMs\":5000,\"idleTimeoutMs\":30000},\"routes\":[" + String.join(",", routes)
                + "],\"services\":[" + String.join(",", specs) + "]}";
    }
}
