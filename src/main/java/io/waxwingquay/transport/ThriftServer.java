package io.waxwingquay.transport;

import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.PeerService;
import io.waxwingquay.transport.generated.SideService;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadFactory;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TThreadedSelectorServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;

/**
 * Serves a {@link PeerProtocol} or {@link SideProtocol} handler over Thrift. No thread blocks in a handler.
 */
public final class ThriftServer implements AutoCloseable {

    private static final int SELECTOR_THREADS = 1;
    private static final int WORKER_THREADS = 2;
    private static final long MAX_FRAME_BYTES = 16L * 1024 * 1024;

    private final HostPort address;
    private final KeepAliveServerSocket socket;
    private final ExecutorService workers;
    private Optional<TThreadedSelectorServer> server = Optional.empty();

    private ThriftServer(HostPort requested) {
        try {
            this.socket = new KeepAliveServerSocket(requested);
        } catch (TTransportException failure) {
            throw new TransportException(false, "cannot listen on " + requested + "; is the port in use?", failure);
        }
        this.address = new HostPort(requested.host(), socket.getPort());
        this.workers = Executors.newFixedThreadPool(WORKER_THREADS, daemonThreads("thrift-worker-" + address.port()));
    }

    /**
     * Binds to a port. Connections wait until one of the serve methods is called.
     *
     * @param address the address to listen on; port 0 selects a free port.
     * @return the server, not serving yet.
     * @throws TransportException if the server cannot bind to the port.
     */
    public static ThriftServer bind(HostPort address) {
        return new ThriftServer(address);
    }

    /**
     * Serves the calls between any two processes.
     *
     * @param handler the handler that answers the calls.
     * @return this server.
     */
    public ThriftServer servePeer(PeerProtocol handler) {
        return serve(new PeerService.AsyncProcessor<>(new PeerAdapter(handler)));
    }

    /**
     * Serves the calls from an entry to a side process and the calls between any two processes.
     *
     * @param handler the handler that answers the calls.
     * @return this server.
     */
    public ThriftServer serveSide(SideProtocol handler) {
        return serve(new SideService.AsyncProcessor<>(new SideAdapter(handler)));
    }

    /**
     * Returns the address on which this server listens.
     *
     * @return the address with the actual port.
     */
    public HostPort address() {
        return address;
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        server.ifPresent(TThreadedSelectorServer::stop);
        socket.close();
        workers.shutdownNow();
    }

    private ThriftServer serve(TProcessor processor) {
        TThreadedSelectorServer.Args arguments = new TThreadedSelectorServer.Args(socket)
                .processor(processor)
                .protocolFactory(new TCompactProtocol.Factory())
                .selectorThreads(SELECTOR_THREADS)
                .executorService(workers);
        arguments.maxReadBufferBytes = MAX_FRAME_BYTES;
        TThreadedSelectorServer serving = new TThreadedSelectorServer(arguments);
        server = Optional.of(serving);
        daemonThreads("thrift-server-" + address.port())
                .newThread(serving::serve)
                .start();
        return this;
    }

    private static ThreadFactory daemonThreads(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    /**
     * Enables TCP keep-alive for accepted connections.
     *
     * <p>Failure: a connection is dead, and its client has already opened another one. Symptom: the server never closes
     * the dead socket and runs out of sockets. Keep-alive lets the kernel close such sockets. It is slow, which does
     * not matter because no answer depends on it.
     */
    private static final class KeepAliveServerSocket extends TNonblockingServerSocket {

        private KeepAliveServerSocket(HostPort address) throws TTransportException {
            super(new InetSocketAddress(address.host(), address.port()));
        }

        /** {@inheritDoc} */
        @Override
        public TNonblockingSocket accept() throws TTransportException {
            TNonblockingSocket socket = super.accept();
            if (socket != null) {
                configure(socket);
            }
            return socket;
        }

        private static void configure(TNonblockingSocket socket) throws TTransportException {
            try {
                socket.getSocketChannel().socket().setKeepAlive(true);
                socket.getSocketChannel().socket().setTcpNoDelay(true);
            } catch (SocketException failure) {
                throw new TTransportException(failure);
            }
        }
    }
}
