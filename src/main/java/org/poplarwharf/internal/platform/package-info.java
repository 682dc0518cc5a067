/**
 * Adapts the node to the platform that a fleet runs on: its names, formats and calls. Contains no decision logic.
 *
 * <p>Each external name is decoded in one place, the class in the last column of the table, into an internal type.
 *
 * <table>
 * <caption>External and internal names</caption>
 * <tr><th>external name</th><th>internal name</th><th>decoded in</th></tr>
 * <tr><td>machine, node, role</td><td>VM, node</td><td>{@link GatewaySettingsReader}</td></tr>
 * <tr><td>zone</td><td>availability zone</td><td>{@link GatewaySettingsReader}, {@link TargetEntryDecoder}</td></tr>
 * <tr><td>server, instance</td><td>target, {@code Target.id}</td><td>{@link TargetEntryDecoder}</td></tr>
 * <tr><td>{@code born}</td><td>{@code Target.startedAtMillis}</td><td>{@link TargetEntryDecoder}</td></tr>
 * <tr><td>{@code seq} of an entry</td><td>{@code Target.heartbeatCount}</td><td>{@link TargetEntryDecoder}</td></tr>
 * <tr><td>{@code seq} of a report</td><td>{@code EngineReport.ordersAccepted}</td>
 * <td>{@link HttpEngineClient}</td></tr>
 * <tr><td>{@code precondition}</td><td>{@code EngineOrder.expectedOrdersAccepted}</td>
 * <td>{@link HttpEngineClient}</td></tr>
 * <tr><td>{@code coming}</td><td>adapters of a {@code LoadedModel}, because they already occupy adapter slots</td>
 * <td>{@link TargetEntryDecoder}</td></tr>
 * <tr><td>{@code holder}, {@code fence}</td><td>lease holder, fencing number</td><td>{@link HttpEngineClient}</td></tr>
 * <tr><td>{@code weightsMb} of a model, of an engine</td>
 * <td>{@code EngineModelSpec.sizeMb}, {@code EngineSpec.memoryMb}</td>
 * <td>{@link PlanDecoder}</td></tr>
 * <tr><td>{@code safe}, {@code unsafe}, {@code streaming}, {@code resumable}</td><td>{@code RouteKind}</td>
 * <td>{@link PlanDecoder}</td></tr>
 * <tr><td>{@code targetLatencyMs}</td><td>{@code Route.objectiveMillis}</td><td>{@link PlanDecoder}</td></tr>
 * <tr><td>{@code maxAttempts}</td><td>{@code Route.maxTargets}</td><td>{@link PlanDecoder}</td></tr>
 * <tr><td>request and response headers</td><td>{@code RequestTraits}, {@code ResponseTraits}</td>
 * <td>{@link PlatformHeaderCodec}</td></tr>
 * <tr><td>{@code Server-Limit}</td><td>{@code ResponseTraits.requestsPerSecondLimit}</td>
 * <td>{@link PlatformHeaderCodec}</td></tr>
 * <tr><td>{@code Server-Leaving}</td><td>{@code ResponseTraits.targetLeaving}</td>
 * <td>{@link PlatformHeaderCodec}</td></tr>
 * <tr><td>{@code Retry-After} of a 503</td><td>{@code ResponseTraits.pauseMillis}</td>
 * <td>{@link PlatformHeaderCodec}</td></tr>
 * <tr><td>{@code version} of an entry</td><td>{@code Target.softwareVersion}</td><td>{@link TargetEntryDecoder}</td></tr>
 * <tr><td>{@code Resumes}</td><td>{@code RequestTraits.resumedRequestId}</td><td>{@link PlatformHeaderCodec}</td></tr>
 * <tr><td>topics, records, offsets</td><td>keyed topics of the platform's log</td>
 * <td>{@link PlatformKeyedLog}</td></tr>
 * </table>
 */
package org.poplarwharf.internal.platform;
