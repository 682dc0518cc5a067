package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.ScriptedTarget;

/** Keys of client accounts at a gateway: who is let in, and what targets learn of the caller. */
class ClientAccountGatewayTest {
    private static final String ACCOUNTS =
            "'limits':{},'tenants':[{'name':'first','apiKeys':['key-1','key-2'],'priority':3},"
                    + "{'name':'second','apiKeys':['key-3']}]";
    private static final String ONE_KEY_LESS =
            "'limits':{},'tenants':[{'name':'first','apiKeys':['key-2']},{'name':'second','apiKeys':['key-3']}]";

    private final CopyOnWriteArrayList<ScriptedTarget.Request> received = new CopyOnWriteArrayList<>();
    private GatewayCluster cluster;
    private GatewayCluster.Node node;

    @BeforeEach
    void start() throws IOException {
        cluster = new GatewayCluster();
        node = cluster.startNode();
        ScriptedTarget target = cluster.addTarget("desk", "");
        ScriptedTarget.Script sound = target.script;
        target.script = (request, out) -> {
            received.add(request);
            sound.respond(request, out);
        };
        publish(2, ACCOUNTS);
    }

    @AfterEach
    void stop() throws Exception {
        cluster.close();
    }

    private void publish(int version, String accounts) {
        cluster.platform.put("op", "config", GatewayCluster.plan(version, accounts));
        Eventually.eventually(
                "plan " + version + " is in force",
                () -> node.log().contains("\"event\":\"plan-in-force\"")
                        && node.log().contains("\"version\":" + version));
    }

    private HttpResponse<String> send(String... authorization) throws IOException, InterruptedException {
        HttpRequest.Builder request =
                GatewayCluster.request(node.frontPort(), "/safe/x").header("X-Tenant", "forged");
        for (String value : authorization) {
            request.header("Authorization", value);
        }
        return cluster.send(request.GET());
    }

    @Test
    void target_gets_the_name_of_the_account_and_no_key() throws Exception {
        assertThat(send("Bearer key-1").statusCode()).isEqualTo(200);

        assertThat(received).hasSize(1);
        assertThat(received.get(0).headers().get("x-tenant")).isEqualTo("first");
        assertThat(received.get(0).headers().get("x-request-priority")).isEqualTo("3");
        assertThat(received.get(0).headers().toString()).doesNotContain("key-1");
        assertThat(node.log()).doesNotContain("key-1");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Bearer", "Bearer ", "Bearer unknown", "Basic key-1", "key-1", "Bearer key-1 key-2"})
    void request_without_a_known_key_is_refused_and_reaches_no_target(String authorization) throws Exception {
        HttpResponse<String> response = authorization.isEmpty() ? send() : send(authorization);

        assertThat(response.statusCode()).isEqualTo(401);
        assertThat(response.body()).contains("unknown-key").contains("\"ran\":\"no\"");
        assertThat(received).isEmpty();
    }

    @Test
    void request_with_two_keys_is_refused() throws Exception {
        assertThat(send("Bearer key-1", "Bearer key-3").statusCode()).isEqualTo(401);
        assertThat(received).isEmpty();
    }

    @Test
    void withdrawn_key_is_refused_on_an_open_connection_and_other_keys_go_on() throws Exception {
        assertThat(send("Bearer key-1").statusCode()).isEqualTo(200);

        publish(3, ONE_KEY_LESS);

        assertThat(send("Bearer key-1").statusCode()).isEqualTo(401);
        assertThat(send("Bearer key-2").statusCode()).isEqualTo(200);
        publish(4, ACCOUNTS);
        assertThat(send("Bearer key-1").statusCode()).isEqualTo(200);
    }

    @Test
    void plan_without_accounts_passes_on_what_the_caller_states() throws Exception {
        publish(3, "'limits':{}");

        assertThat(send("Bearer key-1").statusCode()).isEqualTo(200);
        assertThat(received.get(0).headers().get("authorization")).isEqualTo("Bearer key-1");
        assertThat(received.get(0).headers().get("x-tenant")).isEqualTo("forged");
    }
}
