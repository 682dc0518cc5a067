package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.ScriptedTarget;

/** A target that fails some requests with a refusal status without stating that they have not run is not unreachable. */
@Timeout(30)
class FailedRequestGatewayTest {
    private static final String MODELS = ",'models':[{'name':'m1','version':1,'adapters':[]}],'atHand':{}";
    private static final String REPORT =
            "{\"seq\":0,\"busy\":false,\"models\":[{\"name\":\"m1\",\"version\":1,\"adapters\":[]}]}";

    private GatewayCluster cluster;
    private GatewayCluster.Node node;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
        node = cluster.startNode();
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
    }

    @Test
    void sound_requests_are_served_while_their_target_fails_others_with_a_refusal_status() throws Exception {
        ScriptedTarget target = cluster.addTarget("lm", MODELS);
        target.controlScript = (request, out) -> ScriptedTarget.writeResponse(out, request, "200 OK", REPORT);
        target.script = (request, out) -> {
            if (request.body().equals("failing")) {
                ScriptedTarget.writeResponse(out, request, "429 Too Many Requests", "");
                return;
            }
            ScriptedTarget.writeStreamHead(out, request);
            ScriptedTarget.writeEvent(out, 1);
            ScriptedTarget.write(out, "0\r\n\r\n");
        };
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            post("f" + i, "failing");
            statuses.add(post("r" + i, "prompt"));
        }

        assertThat(statuses).as(node.log()).containsOnly(200);
    }

    private int post(String id, String prompt) throws Exception {
        return cluster.send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.frontPort() + "/lm/x"))
                        .header("X-Request-Id", id)
                        .header("X-Model", "m1")
                        .header("X-Token-Counts", "10,10")
                        .POST(HttpRequest.BodyPublishers.ofString(prompt)))
                .statusCode();
    }
}
