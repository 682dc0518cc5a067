package org.poplarwharf.process;

import static org.poplarwharf.support.Eventually.eventually;

import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.Journal;
import org.poplarwharf.internal.standin.LinkFaults;
import org.poplarwharf.internal.standin.LogEvent;
import org.poplarwharf.internal.standin.ProxyStandin;
import org.poplarwharf.internal.standin.ServiceCall;
import org.poplarwharf.internal.standin.StandinAddresses;
import org.poplarwharf.internal.standin.VmListStandin;
import org.poplarwharf.plugins.VmList.Vm;
import org.poplarwharf.plugins.VmList.VmState;
import org.poplarwharf.support.ReactorThread;
import org.poplarwharf.support.TestHttpClient;

/**
 * Runs the log, VM list, weight store, engines, service and nodes as processes, with a proxy on each link between them.
 *
 * <p>Processes are named {@code log}, {@code vms}, {@code store}, {@code service}, {@code e1..eN} and {@code n1..nM}. A link
 * is named after its ends, such as {@code n1-log} and {@code n1-n2}. The links {@code any-e1}, {@code any-n1} and {@code
 * any-service} are shared by all clients: the VM list and the configuration contain their addresses. The proxy runs in
 * the test's own process. Confined to one test thread.
 */
public final class Cluster implements AutoCloseable {
    public static final String ADMIN_TOKEN = "test-token";

    private static final String ANY = "any";
    private static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module());

    private final Path folder;
    private final ClusterSettings settings;
    private final ReactorThread thread = new ReactorThread();
    private final TestHttpClient http = new TestHttpClient(thread);
    private final Map<String, PoplarProcess> processes = new LinkedHashMap<>();
    private final Map<String, List<String>> nodeArguments = new LinkedHashMap<>();
    private final List<String> nodePeerAddresses;
    private ProxyStandin proxy;

    private Cluster(Path folder, ClusterSettings settings) {
        this.folder = folder;
        this.settings = settings;
        this.nodePeerAddresses = FreePorts.addresses(settings.nodes());
    }

    /** Starts the stand-ins and the proxy, but no nodes, and sets the VM list. */
    public static Cluster start(Path folder, ClusterSettings settings) {
        Cluster cluster = new Cluster(folder, settings);
        try {
            cluster.startStandins();
            cluster.startProxy();
            cluster.setVms(cluster.vms());
            return cluster;
        } catch (RuntimeException | AssertionError e) {
            cluster.close();
            throw e;
        }
    }

    /** Starts all nodes and waits until each accepts connections. */
    public void startNodes() {
        List<String> names = nodeNames();
        names.forEach(this::startNode);
        names.forEach(name -> process(name).awaitListening());
    }

    /** Starts or restarts one node. */
    public PoplarProcess startNode(String name) {
        List<String> arguments = nodeArguments.computeIfAbsent(name, this::nodeArguments);
        PoplarProcess started = PoplarProcess.start(folder, name, arguments);
        processes.put(name, started);
        return started;
    }

    /** Restarts a stand-in at the same addresses; its state is lost. */
    public PoplarProcess restartStandin(String name, List<String> options) {
        PoplarProcess.ListeningAddresses old = process(name).awaitListening();
        return startStandin(name, kind(name), old.address(), old.admin(), options);
    }

    /** Restarts an engine at the same addresses with the same options. */
    public PoplarProcess restartEngine(String name) {
        return restartStandin(name, engineOptions(name));
    }

    public PoplarProcess process(String name) {
        PoplarProcess process = processes.get(name);
        if (process == null) {
            throw new AssertionError("process " + name + " was not started");
        }
        return process;
    }

    public List<String> nodeNames() {
        return names("n", settings.nodes());
    }

    public List<String> engineNames() {
        return names("e", settings.engines());
    }

    /** Returns the proxy address of the link between two processes. */
    public String linkAddress(String from, String to) {
        return thread.call(() -> proxy.address(from + "-" + to));
    }

    /** Returns the proxy address at which all clients reach a process. */
    public String sharedLinkAddress(String to) {
        return linkAddress(ANY, to);
    }

    public void setLink(String from, String to, LinkFaults faults) {
        thread.run(() -> proxy.setFaults(from + "-" + to, faults));
    }

    public void silenceLink(String from, String to) {
        thread.run(() -> proxy.silenceConnections(from + "-" + to));
    }

    public void resetLink(String from, String to) {
        thread.run(() -> proxy.resetConnections(from + "-" + to));
    }

    /** Holds back all bytes on the open connections of a link; new connections work. */
    public void freezeLink(String from, String to) {
        thread.run(() -> proxy.freezeConnections(from + "-" + to));
    }

    public void thawLink(String from, String to) {
        thread.run(() -> proxy.thawConnections(from + "-" + to));
    }

    /** Returns the number of open connections on a link. */
    public int openConnections(String from, String to) {
        return thread.call(() -> proxy.linkStates().stream()
                .filter(link -> link.name().equals(from + "-" + to))
                .mapToInt(ProxyStandin.LinkState::openConnections)
                .sum());
    }

    /** Sets the faults of a stand-in; the value is one of the fault records of the stand-in package. */
    public void setFaults(String name, Object faults) {
        put(process(name).awaitListening().admin() + "/faults", faults);
    }

    public void setVms(List<Vm> vms) {
        put(process("vms").awaitListening().admin() + "/vms", new VmListStandin.VmsChanged(vms));
    }

    /** Returns the VMs of all nodes, all engines and the service, each in state {@code LIVE}. */
    public List<Vm> vms() {
        List<Vm> vms = new ArrayList<>();
        nodeNames().forEach(name -> vms.add(vm(name)));
        engineNames().forEach(name -> vms.add(vm(name)));
        vms.add(vm("service"));
        return vms;
    }

    /** Returns the journal of an engine; works after the engine has ended, too. */
    public List<Journal.Entry<EngineEvent>> engineJournal(String name) {
        return readJournal(name, EngineEvent.class);
    }

    /** Returns the calls that the service ran; works after the service has ended, too. */
    public List<Journal.Entry<ServiceCall>> serviceJournal() {
        return readJournal("service", ServiceCall.class);
    }

    /** Returns the journal of the log, which contains the appends that reached it. */
    public List<Journal.Entry<LogEvent>> logJournal() {
        return readJournal("log", LogEvent.class);
    }

    public TestHttpClient http() {
        return http;
    }

    public ReactorThread thread() {
        return thread;
    }

    /** Runs a command of the binary and waits for it to exit. */
    public PoplarProcess.ExitResult runCommand(String... arguments) {
        return PoplarProcess.run(folder, "command-" + System.nanoTime(), List.of(arguments));
    }

    /** Waits until a GET request to a URL returns status 200. */
    public void awaitOk(String url) {
        eventually(url + " returns 200", () -> {
            try {
                return http.get(url).status() == 200;
            } catch (RuntimeException e) {
                return false;
            }
        });
    }

    @Override
    public void close() {
        processes.values().forEach(PoplarProcess::close);
        if (proxy != null) {
            thread.run(proxy::stop);
        }
        thread.close();
    }

    private void startStandins() {
        startStandin("log", settings.logOptions());
        startStandin("vms", List.of());
        startStandin("store", settings.storeOptions());
        startStandin("service", List.of());
        engineNames().forEach(name -> startStandin(name, engineOptions(name)));
        processes.values().forEach(PoplarProcess::awaitListening);
    }

    /** Returns whether an engine rejects orders with an outdated fencing number. */
    public boolean supportsFencing(String engine) {
        return engineNames().indexOf(engine) < settings.engines() - settings.enginesWithoutFencing();
    }

    private List<String> engineOptions(String name) {
        List<String> options = new ArrayList<>(settings.engineOptions());
        options.addAll(List.of("--store", process("store").awaitListening().address()));
        if (!supportsFencing(name)) {
            options.add("--no-fencing");
        }
        return options;
    }

    private void startStandin(String name, List<String> options) {
        startStandin(name, kind(name), "127.0.0.1:0", "127.0.0.1:0", options);
    }

    private PoplarProcess startStandin(String name, String kind, String address, String admin, List<String> options) {
        List<String> arguments = new ArrayList<>(List.of("standin", kind, "--listen", address, "--admin", admin));
        arguments.addAll(List.of("--journal", journalPath(name).toString()));
        arguments.addAll(options);
        PoplarProcess started = PoplarProcess.start(folder, name, arguments);
        processes.put(name, started);
        return started;
    }

    private static String kind(String name) {
        return name.startsWith("e") ? "engine" : name;
    }

    private void startProxy() {
        List<ProxyStandin.LinkSpec> links = new ArrayList<>();
        String log = process("log").awaitListening().address();
        String vms = process("vms").awaitListening().address();
        for (String node : nodeNames()) {
            links.add(ProxyStandin.LinkSpec.loopback(node + "-log", log));
            links.add(ProxyStandin.LinkSpec.loopback(node + "-vms", vms));
            links.add(ProxyStandin.LinkSpec.loopback(ANY + "-" + node, peerAddress(node)));
            otherNodes(node)
                    .forEach(
                            other -> links.add(ProxyStandin.LinkSpec.loopback(node + "-" + other, peerAddress(other))));
        }
        for (String engine : engineNames()) {
            links.add(ProxyStandin.LinkSpec.loopback(
                    ANY + "-" + engine, process(engine).awaitListening().address()));
        }
        links.add(ProxyStandin.LinkSpec.loopback(
                ANY + "-service", process("service").awaitListening().address()));
        proxy = thread.call(() -> ProxyStandin.start(thread.reactor(), StandinAddresses.loopback(), links));
    }

    private List<String> nodeArguments(String name) {
        List<String> peers =
                otherNodes(name).stream().map(other -> linkAddress(name, other)).toList();
        List<String> addresses = FreePorts.addresses(2);
        List<String> arguments = new ArrayList<>(List.of("node", "--node-id", name, "--vm-id", "vm-" + name));
        arguments.addAll(List.of("--zone", zone(name), "--listen", addresses.get(0), "--admin", addresses.get(1)));
        arguments.addAll(List.of("--peer", peerAddress(name), "--peers", String.join(",", peers)));
        arguments.addAll(List.of("--peer-advertise", sharedLinkAddress(name), "--admin-token", ADMIN_TOKEN));
        arguments.addAll(List.of("--log", linkAddress(name, "log"), "--vm-list", linkAddress(name, "vms")));
        arguments.addAll(settings.nodeOptions());
        return arguments;
    }

    private Vm vm(String name) {
        return new Vm("vm-" + name, name, sharedLinkAddress(name), zone(name), VmState.LIVE);
    }

    private String peerAddress(String node) {
        return nodePeerAddresses.get(nodeNames().indexOf(node));
    }

    private List<String> otherNodes(String node) {
        return nodeNames().stream().filter(name -> !name.equals(node)).toList();
    }

    /** Returns the availability zone of a node or an engine, {@code z1} to {@code zN}. */
    public String zone(String name) {
        int index = Math.max(nodeNames().indexOf(name), engineNames().indexOf(name));
        return "z" + (Math.max(0, index) % settings.zones() + 1);
    }

    private static List<String> names(String prefix, int count) {
        List<String> names = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            names.add(prefix + i);
        }
        return names;
    }

    private Path journalPath(String name) {
        return folder.resolve(name + ".journal");
    }

    private <E> List<Journal.Entry<E>> readJournal(String name, Class<E> type) {
        JavaType entryType = MAPPER.getTypeFactory().constructParametricType(Journal.Entry.class, type);
        List<Journal.Entry<E>> entries = new ArrayList<>();
        try {
            if (!Files.exists(journalPath(name))) {
                return entries;
            }
            for (String line : Files.readAllLines(journalPath(name))) {
                entries.add(MAPPER.readValue(line, entryType));
            }
            return entries;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void put(String url, Object value) {
        try {
            TestHttpClient.Response response = http.put(url, MAPPER.writeValueAsString(value));
            if (response.status() != 200) {
                throw new AssertionError(url + " returned " + response);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
