import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The system's own processes, started with the commands of the deploy file. Each machine has a loopback address of its
 * own, and the ports are the same on all machines. The bounds are those of tqa-furnace.
 */
final class Deployment implements AutoCloseable {

    /** The loopback addresses of the machines. */
    private static final List<String> HOSTS = List.of(
            "127.0.0.1", "127.0.0.11", "127.0.0.12", "127.0.0.21", "127.0.0.22", "127.0.0.23", "127.0.0.24");

    private static final String BOUNDS =
            """
            [limits]
            cpu_share = 0.57
            cores = 1
            memory_mb = 430
            max_fds = 4100
            link_mbps = 1000.0
            disk_mb = 0
            [fault_tolerance]
            machines = 2
            zones = 0
            regions = 0
            [bounds]
            seed_lag_s = 3
            addr_reuse_s = 2
            stable_ms = 3000
            ack_ms = 4000
            catch_up_s = 4
            drain_ms = 2000
            grace_s = 8
            loss_slack_ms = 200
            config_apply_ms = 2000
            rollback_slack_ms = 250
            max_skew_ms = 5000
            retry_budget_ratio = 0.2
            budget_window_s = 10
            budget_slack = 56
            recover_s = 12
            pass_ms = 120
            again_s = 0
            fencing_enforced = false
            lease_ms = 3000
            thaw_ms = 300
            ceiling_window_s = 5
            ceiling_over = 1.1
            """;

    private final Path root;
    private final Path directory;
    private final String storeAddress;
    private final int frontPort;
    private final int readyPort;
    private final int controlPort;
    private final int firstPeerPort;
    private final List<String> seeds;
    private final List<Process> processes = new ArrayList<>();

    Deployment(Path root, String storeAddress, List<String> entryHosts) throws IOException {
        this.root = root;
        this.directory = Files.createTempDirectory("review");
        this.storeAddress = storeAddress;
        this.firstPeerPort = freePorts(10);
        this.frontPort = firstPeerPort + 6;
        this.readyPort = firstPeerPort + 7;
        this.controlPort = firstPeerPort + 8;
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
        this.seeds = entryHosts.stream().map(host -> "\"" + host + ":" + controlPort + "\"").toList();
    }

    /** Returns the first of some successive ports that are free on loopback. */
    static int freePorts(int count) throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            int first = 20_000 + (int) (Math.random() * 10_000);
            if (areFree(first, count)) {
                return first;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            for (String host : HOSTS) {
                if (!isFree(host, port)) {
                    return false;
                }
            }
        }
        return true;
    }

    private static boolean isFree(String host, int port) {
        try {
            new ServerSocket(port, 1, InetAddress.getByName(host)).close();
            return true;
        } catch (IOException taken) {
            return false;
        }
    }

    InetSocketAddress front(String host) {
        return new InetSocketAddress(host, frontPort);
    }

    int firstPort() {
        return firstPeerPort;
    }

    Process startEntry(String name, String host, boolean firstStart) throws IOException {
        String listen = "front = \"%s:%d\"%nready = \"%s:%d\"%ncontrol = \"%s:%d\"%n"
                .formatted(host, frontPort, host, readyPort, host, controlPort);
        return start("entry", name, settings(name, "front", host, "", listen, firstStart));
    }

    Process startSide(String name, String host, String service, String engineAddress, boolean firstStart)
            throws IOException {
        String engine = "app = \"%s\"%nservice = \"%s\"%n".formatted(engineAddress, service);
        return start("side", name, settings(name, "side", host, engine, "", firstStart));
    }

    private String settings(
            String name, String machineClass, String host, String extra, String listen, boolean firstStart) {
        String head =
                """
                node = "%s"
                role = "%s"
                machine_class = "%s"
                serves = ["%s"]
                ip = "%s"
                zone = "mid-a"
                region = "midlands"
                port_range = [%d, %d]
                seeds = [%s]
                bootstrap = %b
                counts_as_loss = false
                discovery = "platform"
                entry = "vip"
                heartbeat_ms = 1200
                contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
                """
                        .formatted(
                                name,
                                machineClass,
                                machineClass,
                                machineClass,
                                host,
                                firstPeerPort,
                                firstPeerPort + 5,
                                String.join(",", seeds),
                                firstStart);
        String platform =
                """
                [platform]
                address = "%s"
                form = "table"
                writes_per_s = 400
                reads_per_s = 2000
                tx_ms = 8.0
                part_writes_per_s = 150
                row_bytes = 65536
                across = false
                history_s = 20
                """
                        .formatted(storeAddress);
        return head + extra + "[zones]\nmid-a = \"midlands\"\n[listen]\n" + listen + BOUNDS + platform;
    }

    private Process start(String role, String name, String settings) throws IOException {
        Path file = directory.resolve(name + ".toml");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.directory(root.toFile());
        builder.environment().put("WAXWINGQUAY_CONFIG", file.toString());
        File log = directory.resolve(name + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        Process process = builder.start();
        synchronized (processes) {
            processes.add(process);
        }
        return process;
    }

    /** Reads the command of a role from the deploy file. */
    private List<String> command(String role) throws IOException {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]+)\"").matcher(deploy);
        if (!run.find()) {
            throw new IOException("the deploy file has no role " + role);
        }
        return List.of(run.group(1).split(" "));
    }

    /** Waits until an entry says that it is ready. */
    void awaitReady(String host) throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < endNanos) {
            try (Socket socket = new Socket(host, readyPort)) {
                socket.setSoTimeout(1_000);
                Http.write(
                        socket.getOutputStream(),
                        Http.request("GET", "/readyz", java.util.Map.of("Host", host), new byte[0]));
                Http.Message answer = Http.read(socket.getInputStream());
                if (answer != null && answer.status() == 200) {
                    return;
                }
            } catch (IOException notYet) {
                // The process is still starting.
            }
            Threads.sleep(50);
        }
        throw new IOException("the entry at " + host + " did not become ready");
    }

    /** Returns the log of a process, for the record. */
    String log(String name) throws IOException {
        return Files.readString(directory.resolve(name + ".log"));
    }

    @Override
    public void close() throws IOException {
        synchronized (processes) {
            processes.forEach(Process::destroyForcibly);
            for (Process process : processes) {
                try {
                    process.waitFor(5, TimeUnit.SECONDS);
                } catch (InterruptedException interrupted) {
                    throw new IOException(interrupted);
                }
            }
        }
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
