package org.poplarwharf.internal.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.ClassSpec;
import org.poplarwharf.internal.config.FleetConfig.ServiceSpec;
import org.poplarwharf.internal.config.FleetConfig.TenantSpec;
import org.poplarwharf.internal.crash.RequestFingerprint;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Parses and validates callers' requests against the current configuration.
 *
 * <p>Throws a failure whose code says what is wrong with the request; nothing has run at that point. Stateless and
 * thread-safe.
 */
final class RequestParser {
    static final String COMPLETIONS_PATH = "/v1/chat/completions";
    static final String SERVICES_PATH_PREFIX = "/services/";

    private static final String JSON_CONTENT_TYPE = "application/json";
    private static final String ANONYMOUS_TENANT = "anonymous";
    private static final ClassSpec DEFAULT_CLASS = new ClassSpec("standard", 30_000, 0, 1_000);
    private static final long MAX_TIMEOUT_MILLIS = 3_600_000;
    private static final Pattern NAME_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,200}");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private RequestParser() {}

    /** Returns the request id that the caller sent if it is valid, and the generated one otherwise. */
    static String requestId(RequestHead request, String generatedId) {
        return request.requestId()
                .filter(id -> NAME_PATTERN.matcher(id).matches())
                .orElse(generatedId);
    }

    /** Validates the part of a request that is known before its body is read. */
    static void checkHead(RequestHead request, long maxBodyBytes) {
        String path = request.path();
        boolean completion = path.equals(COMPLETIONS_PATH);
        if (!completion && !path.startsWith(SERVICES_PATH_PREFIX)) {
            throw CallerReporter.unknownPath(path);
        }
        if (completion && !request.method().equals("POST")) {
            throw CallerReporter.methodNotAllowed(request.method(), "POST");
        }
        String contentType = request.contentType().orElse("");
        if (completion && !contentType.toLowerCase(Locale.ROOT).startsWith(JSON_CONTENT_TYPE)) {
            throw CallerReporter.unsupportedMediaType(contentType);
        }
        Optional<Long> lengthBytes = parseNumber(request.contentLength(), "Content-Length");
        if (lengthBytes.isPresent() && lengthBytes.get() > maxBodyBytes) {
            throw CallerReporter.bodyTooLarge(maxBodyBytes);
        }
    }

    /** Parses a request; {@code generatedId} is its id if the caller sent none. */
    static CallerRequest parse(
            RequestHead request, byte[] body, FleetConfig config, String generatedId, long arrivedMillis) {
        boolean completion = request.path().equals(COMPLETIONS_PATH);
        JsonNode json = completion ? parseJson(body) : MAPPER.missingNode();
        ArtifactId artifact = completion ? parseModel(json) : parseService(request.path());
        if (!config.serves(artifact)) {
            throw CallerReporter.unknownArtifact(artifact);
        }
        String tenant = requireValidName(request.tenant(), "X-Tenant").orElse(ANONYMOUS_TENANT);
        ClassSpec requestClass = requestClass(request, config, tenant);
        String method = request.method();
        String path = completion ? COMPLETIONS_PATH : servicePath(request, artifact);
        Optional<String> key = requireValidName(request.idempotencyKey(), "Idempotency-Key");
        CallerRequest parsed = new CallerRequest(
                requestId(request, generatedId),
                artifact,
                tenant,
                requestClass,
                arrivedMillis,
                arrivedMillis + timeoutMillis(request, requestClass),
                method,
                path,
                request.contentType().orElse(""),
                body,
                completion && json.path("stream").asBoolean(),
                RequestFingerprint.of(List.of(tenant, artifact.toString(), method, path), body),
                completion ? RequestHashes.prefixHash(body) : 0,
                key,
                key.isPresent() || isNonRepeatableCall(config, artifact, method, path));
        checkIdempotencyKey(parsed);
        return parsed;
    }

    private static void checkIdempotencyKey(CallerRequest request) {
        if (request.atMostOnce() && request.idempotencyKey().isEmpty()) {
            throw CallerReporter.invalidRequest(
                    "This call is configured as non-repeatable and has no Idempotency-Key header.",
                    "Send an Idempotency-Key that is unique to this call, and send the same key when you retry it.");
        }
        if (request.atMostOnce() && request.streamed()) {
            throw CallerReporter.invalidRequest(
                    "A streamed completion can't have an Idempotency-Key header.",
                    "Omit the header, or set \"stream\" to false.");
        }
    }

    private static JsonNode parseJson(byte[] body) {
        try {
            JsonNode json = MAPPER.readTree(body);
            if (json != null && json.isObject()) {
                return json;
            }
        } catch (IOException | RuntimeException e) {
            throw invalidJson();
        }
        throw invalidJson();
    }

    private static RuntimeException invalidJson() {
        return CallerReporter.invalidRequest("The body is not a JSON object.", "Send a chat completion in JSON.");
    }

    private static ArtifactId parseModel(JsonNode json) {
        String model = json.path("model").asText();
        if (!json.path("model").isTextual() || model.isBlank() || model.startsWith("service/")) {
            throw CallerReporter.invalidRequest(
                    "The body has no valid \"model\" field.", "Set \"model\" to a model name, or to name:adapter.");
        }
        return ArtifactId.parse(model);
    }

    private static ArtifactId parseService(String path) {
        String nameAndPath = path.substring(SERVICES_PATH_PREFIX.length());
        int slash = nameAndPath.indexOf('/');
        return ArtifactId.service(slash < 0 ? nameAndPath : nameAndPath.substring(0, slash));
    }

    private static String servicePath(RequestHead request, ArtifactId artifact) {
        String target = request.pathAndQuery()
                .substring(SERVICES_PATH_PREFIX.length() + artifact.name().length());
        return target.startsWith("/") ? target : "/" + target;
    }

    private static ClassSpec requestClass(RequestHead request, FleetConfig config, String tenant) {
        Optional<String> className = requireValidName(request.requestClass(), "X-Request-Class");
        if (className.isPresent()) {
            return config.requestClass(className.get())
                    .orElseThrow(() -> CallerReporter.invalidRequest(
                            "There is no request class " + className.get() + ".",
                            "Use a class that the configuration defines, or omit the X-Request-Class header."));
        }
        return config.tenant(tenant)
                .flatMap(TenantSpec::defaultClass)
                .flatMap(config::requestClass)
                .orElse(DEFAULT_CLASS);
    }

    private static long timeoutMillis(RequestHead request, ClassSpec requestClass) {
        long millis = parseNumber(request.deadlineMillis(), "X-Deadline-Millis").orElse(requestClass.deadlineMillis());
        if (millis <= 0 || millis > MAX_TIMEOUT_MILLIS) {
            throw CallerReporter.invalidRequest(
                    "X-Deadline-Millis is out of range.",
                    "Send a number of milliseconds between 1 and " + MAX_TIMEOUT_MILLIS + ".");
        }
        return millis;
    }

    private static boolean isNonRepeatableCall(FleetConfig config, ArtifactId artifact, String method, String path) {
        return artifact.kind() == ArtifactId.Kind.SERVICE
                && config.service(artifact.name()).map(ServiceSpec::nonRepeatable).stream()
                        .flatMap(java.util.List::stream)
                        .anyMatch(call -> call.method().equalsIgnoreCase(method) && path.startsWith(call.pathPrefix()));
    }

    private static Optional<String> requireValidName(Optional<String> value, String label) {
        if (value.isPresent() && !NAME_PATTERN.matcher(value.get()).matches()) {
            throw CallerReporter.invalidRequest(
                    label + " is empty, too long or contains invalid characters.",
                    "Use 1 to 200 printable characters without spaces.");
        }
        return value;
    }

    private static Optional<Long> parseNumber(Optional<String> value, String label) {
        try {
            return value.map(String::trim).map(Long::parseLong);
        } catch (NumberFormatException e) {
            throw CallerReporter.invalidRequest(label + " is not a number.", "Send a whole number.");
        }
    }
}
