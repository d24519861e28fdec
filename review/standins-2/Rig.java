import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts the project's processes with the commands of the deploy file, and writes the record of a case. */
final class Rig {

    /** A task of a stand-in. */
    interface Task {
        void run() throws Exception;
    }

    /** A case ends by then, whatever happens. */
    private static final long MAX_MILLIS = 110_000;

    private static final long START_NANOS = System.nanoTime();
    private static final List<Process> PROCESSES = new ArrayList<>();
    private static PrintWriter record;
    private static Path directory;

    private Rig() {}

    static boolean isTroubled() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static synchronized void record(String line) {
        if (record != null) {
            record.printf("%7d %s%n", millis(), line);
            record.flush();
        }
    }

    static void daemon(String name, Task task) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        task.run();
                    } catch (IOException ended) {
                        // The channel ended.
                    } catch (Exception failure) {
                        record(name + " failed: " + failure);
                    }
                },
                name,
                128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    /** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    static void run(String recordFile, java.util.concurrent.Callable<Boolean> broken) {
        int code = 2;
        try {
            record = new PrintWriter(recordFile);
            directory = Files.createTempDirectory("review");
            Runtime.getRuntime().addShutdownHook(new Thread(Rig::end));
            daemon("watchdog", () -> {
                Thread.sleep(MAX_MILLIS);
                record("result: the case could not run: it took too long");
                end();
                Runtime.getRuntime().halt(2);
            });
            record("trouble: " + isTroubled());
            boolean isBroken = broken.call();
            record(isBroken ? "result: the rule was broken" : "result: the rule held");
            code = isBroken ? 1 : 0;
        } catch (Exception | AssertionError failure) {
            record("result: the case could not run: " + failure);
        } finally {
            end();
        }
        Runtime.getRuntime().halt(code);
    }

    private static synchronized void end() {
        for (Process process : PROCESSES) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
        if (directory == null || !Files.exists(directory)) {
            return;
        }
        try (java.util.stream.Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        } catch (IOException failure) {
            record("the temporary folder stays: " + failure);
        }
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** Finds a run of free ports, for the field port_range. */
    static int freePorts(int count, String... hosts) throws IOException {
        for (int base = 20_000 + (int) (System.nanoTime() % 9_000); base < 60_000; base += 37) {
            boolean free = true;
            for (String host : hosts) {
                for (int port = base; free && port < base + count; port++) {
                    try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getByName(host));
                            java.net.DatagramSocket udp =
                                    new java.net.DatagramSocket(port, InetAddress.getByName(host))) {
                        free = tcp.isBound() && udp.isBound();
                    } catch (IOException taken) {
                        free = false;
                    }
                }
            }
            if (free) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    /** The settings of a process, as the platform writes them; the bounds are those of tqa-furnace. */
    static String settings(
            String node, String role, String ip, int ports, String store, String seeds, String app, String listen) {
        return String.join(
                        "\n",
                        "node = \"" + node + "\"",
                        "role = \"" + role + "\"",
                        "machine_class = \"" + (role.equals("entry") ? "front" : "side") + "\"",
                        "serves = [" + (role.equals("entry") ? "\"front\",\"control\"" : "\"side\"") + "]",
                        "ip = \"" + ip + "\"",
                        "zone = \"z\"",
                        "region = \"r\"",
                        "port_range = [" + ports + "," + (ports + 3) + "]",
                        "seeds = [" + seeds + "]",
                        "bootstrap = true",
                        "discovery = \"platform\"",
                        "heartbeat_ms = 1200",
                        app,
                        "[zones]",
                        "z = \"r\"",
                        "[listen]",
                        listen,
                        "[limits]",
                        "cpu_share = 0.57",
                        "cores = 1",
                        "memory_mb = 430",
                        "max_fds = 4100",
                        "link_mbps = 1000.0",
                        "disk_mb = 0",
                        "[bounds]",
                        "seed_lag_s = 3",
                        "addr_reuse_s = 2",
                        "stable_ms = 3000",
                        "ack_ms = 4000",
                        "catch_up_s = 4",
                        "drain_ms = 2000",
                        "grace_s = 8",
                        "loss_slack_ms = 200",
                        "config_apply_ms = 2000",
                        "rollback_slack_ms = 250",
                        "max_skew_ms = 5000",
                        "retry_budget_ratio = 0.2",
                        "budget_window_s = 10",
                        "budget_slack = 56",
                        "recover_s = 12",
                        "pass_ms = 120",
                        "again_s = 0",
                        "fencing_enforced = false",
                        "lease_ms = 3000",
                        "thaw_ms = 300",
                        "ceiling_window_s = 5",
                        "ceiling_over = 1.1",
                        "[platform]",
                        "address = \"" + store + "\"",
                        "form = \"table\"",
                        "writes_per_s = 400",
                        "reads_per_s = 2000",
                        "tx_ms = 8.0",
                        "history_s = 20")
                + "\n";
    }

    /** Starts a role with its command in the deploy file; the current folder is the project's root. */
    static Process start(String role, String name, String settings) throws IOException {
        Path file = directory.resolve(name + ".toml");
        Files.writeString(file, settings);
        String command = "";
        boolean inRole = false;
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            inRole = line.startsWith("[") ? line.equals("[roles." + role + "]") : inRole;
            if (inRole && line.startsWith("run = \"")) {
                command = line.substring("run = \"".length(), line.lastIndexOf('"'));
            }
        }
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.environment().put("WAXWINGQUAY_CONFIG", file.toString());
        builder.redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + ".log").toFile());
        Process process = builder.start();
        PROCESSES.add(process);
        record("started " + name + " (role " + role + ")");
        return process;
    }

    static void signal(Process process, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Waits until an entry says that it is ready. */
    static void awaitReady(String host, int port) throws IOException, InterruptedException {
        for (int check = 0; check < 200; check++) {
            try (Http.Channel channel = Http.Channel.open(host, port, 1_000)) {
                channel.write(Http.head("GET /readyz HTTP/1.1", "Host: " + host));
                if (Http.read(channel.in).status() == 200) {
                    record("ready " + host + ":" + port);
                    return;
                }
            } catch (IOException notYet) {
                // It has not started.
            }
            Thread.sleep(100);
        }
        throw new IOException("not ready " + host + ":" + port);
    }
}
