package io.waxwingquay.testing;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Finds free ports for the processes or nodes that a test starts. They lie below the ephemeral port range, as otherwise
 * an unrelated connection could take a port between the check and its use.
 */
public final class FreePorts {

    private static final int FIRST_PORT = 10_000;
    private static final int END_PORT = 30_000;

    /** Distance between the first ports of processes with consecutive ids, so that concurrent processes differ. */
    private static final int PORTS_PER_PROCESS = 101;

    private static int nextPort =
            wrapIntoRange(FIRST_PORT + ProcessHandle.current().pid() * PORTS_PER_PROCESS);

    private FreePorts() {}

    /**
     * Finds consecutive ports that are free for TCP and UDP. Within a process, no port is returned twice until the
     * search has passed through the whole range.
     *
     * @param count the number of ports.
     * @param hosts the addresses on which all of them must be free.
     * @return the first of the consecutive ports.
     */
    public static synchronized int adjacent(int count, List<String> hosts) {
        for (int searched = 0; searched < END_PORT - FIRST_PORT; searched += count) {
            int base = nextPort;
            nextPort = wrapIntoRange(base + count);
            if (areFree(base, count, hosts)) {
                return base;
            }
        }
        throw new IllegalStateException("no " + count + " free ports between " + FIRST_PORT + " and " + END_PORT);
    }

    private static int wrapIntoRange(long port) {
        return (int) (FIRST_PORT + (port - FIRST_PORT) % (END_PORT - FIRST_PORT));
    }

    private static boolean areFree(int base, int count, List<String> hosts) {
        return hosts.stream()
                .allMatch(host -> IntStream.range(base, base + count).allMatch(port -> isFree(host, port)));
    }

    private static boolean isFree(String host, int port) {
        try (ServerSocket stream = new ServerSocket(port, 1, InetAddress.getByName(host));
                DatagramSocket datagrams = new DatagramSocket(port, InetAddress.getByName(host))) {
            return stream.isBound() && datagrams.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}
