package io.waxwingquay.net;

import io.waxwingquay.common.CallbackGuard;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import jdk.net.ExtendedSocketOptions;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.DatagramChannelEndPoint;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SelectorManager;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * An event loop that serves sockets, timers and posted tasks on a single thread.
 */
public final class EventLoop implements Executor, AutoCloseable {

    /**
     * Keep-alive probes detect a peer that vanished without a reset. With three probes at intervals of one second the
     * detection takes about as long as the platform's own timeout of three seconds.
     */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 3;
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final int BUFFER_BYTES = 65_536;
    private static final int SECOND_BUFFER_BYTES = 1_024;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Time in which the selector forgets a listener: its channel stays open in the kernel until then. */
    private static final long DEREGISTRATION_MILLIS = 5L;

    private static final System.Logger LOG = System.getLogger("waxwingquay.net");

    private final ByteBuffer inputBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final ByteBuffer secondInputBuffer = ByteBuffer.allocateDirect(SECOND_BUFFER_BYTES);
    private final ByteBuffer outputBuffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
    private final TimerQueue timers = new TimerQueue();
    private final Map<SocketAddress, Function<EndPoint, Connection>> connectionFactories = new HashMap<>();
    private final Map<SocketAddress, Listener> listeners = new HashMap<>();
    private final LoopLoad load = new LoopLoad();
    private final LoopSelectorManager selectorManager;
    private volatile Thread thread;

    private EventLoop(String name) {
        this.selectorManager = new LoopSelectorManager(new LoopExecutor(name), new LoopScheduler());
    }

    /**
     * Starts an event loop on its own thread.
     *
     * @param name the thread's name.
     * @return the running loop.
     */
    public static EventLoop start(String name) {
        EventLoop loop = new EventLoop(name);
        try {
            loop.selectorManager.start();
        } catch (Exception failure) {
            throw new IllegalStateException("the event loop " + name + " can't start", failure);
        }
        return loop;
    }

    /**
     * Returns the current monotonic time.
     *
     * @return milliseconds since an arbitrary origin.
     */
    public static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }

    /**
     * Queues a task to run on the loop; callable from any thread.
     *
     * @param task the task.
     */
    @Override
    public void execute(Runnable task) {
        postedTasks.add(task);
        selectorManager.wakeUp();
    }

    /**
     * Schedules a task to run once on the loop; called on the loop.
     *
     * @param delayMillis the delay from now.
     * @param task the task.
     * @return a handle to cancel the task.
     */
    public Cancellable schedule(long delayMillis, Runnable task) {
        TimerQueue.Timer timer = timers.add(nowMillis() + Math.max(0, delayMillis), task);
        return timer::cancel;
    }

    /**
     * Runs a task periodically on the loop; called on the loop.
     *
     * @param periodMillis the delay before the first run and between two runs.
     * @param task the task.
     */
    public void every(long periodMillis, Runnable task) {
        schedule(periodMillis, () -> {
            every(periodMillis, task);
            task.run();
        });
    }

    /**
     * Listens for connections.
     *
     * @param address the address to bind.
     * @param connectionFactory creates the connection for an accepted channel.
     * @return the bound port.
     * @throws UncheckedIOException if the address can't be bound.
     */
    public int listen(InetSocketAddress address, Function<EndPoint, Connection> connectionFactory) {
        try {
            ServerSocketChannel server = ServerSocketChannel.open();
            server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            server.bind(address, ACCEPT_BACKLOG);
            server.configureBlocking(false);
            InetSocketAddress local = (InetSocketAddress) server.getLocalAddress();
            execute(() -> {
                connectionFactories.put(local, connectionFactory);
                listeners.put(local, new Listener(server, selectorManager.acceptor(server)));
            });
            return local.getPort();
        } catch (IOException failure) {
            throw new UncheckedIOException("can't listen on " + address + "; free the port or change it", failure);
        }
    }

    /**
     * Accepts the connections that the kernel holds for an address, and no more from then on; called on the loop.
     *
     * @param address the address on which this loop listens.
     */
    public void stopListening(InetSocketAddress address) {
        Listener listener = listeners.remove(address);
        if (listener != null) {
            closeQuietly(listener.acceptor);
            schedule(DEREGISTRATION_MILLIS, () -> acceptRemaining(listener.channel));
        }
    }

    private void acceptRemaining(ServerSocketChannel server) {
        try (server) {
            for (SocketChannel next = server.accept(); next != null; next = server.accept()) {
                selectorManager.accepted(next);
            }
        } catch (IOException failure) {
            LOG.log(System.Logger.Level.DEBUG, "net: accepting the last connections failed: {0}", failure);
        }
    }

    /**
     * Opens a connection; called on the loop.
     *
     * @param address the address of the peer.
     * @param connectionFactory creates the connection once the channel is connected.
     * @param onFailure receives the cause if the channel can't be connected; no byte has been sent in that case.
     */
    public void connect(
            InetSocketAddress address,
            Function<EndPoint, Connection> connectionFactory,
            Consumer<Throwable> onFailure) {
        ChannelAttachment attachment = new ChannelAttachment(connectionFactory, onFailure);
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            configure(channel);
            if (channel.connect(address)) {
                selectorManager.accept(channel, attachment);
            } else {
                selectorManager.connect(channel, attachment);
            }
        } catch (IOException | RuntimeException failure) {
            closeQuietly(channel);
            onFailure.accept(failure);
        }
    }

    /**
     * Opens a datagram socket.
     *
     * @param address the address to bind.
     * @param receiver receives each datagram and its sender; the buffer is valid only during the call.
     * @return the socket.
     * @throws UncheckedIOException if the address can't be bound.
     */
    public DatagramSocket openDatagramSocket(
            InetSocketAddress address, BiConsumer<InetSocketAddress, ByteBuffer> receiver) {
        try {
            DatagramChannel channel = DatagramChannel.open();
            channel.bind(address);
            channel.configureBlocking(false);
            Function<EndPoint, Connection> connectionFactory =
                    endPoint -> new DatagramReader(endPoint, this, channel, receiver);
            execute(() -> selectorManager.accept(channel, new ChannelAttachment(connectionFactory, failure -> {})));
            return new DatagramSocket(channel);
        } catch (IOException failure) {
            throw new UncheckedIOException("can't bind datagrams to " + address, failure);
        }
    }

    /** {@inheritDoc} */
    @Override
    public void close() {
        try {
            selectorManager.stop();
        } catch (Exception failure) {
            LOG.log(System.Logger.Level.WARNING, "net: stopping the event loop failed: {0}", failure);
        }
    }

    /**
     * Returns a policy that takes connections while this loop keeps up with its work.
     *
     * @return the policy, for one listener.
     */
    public ConnectionPolicy acceptWhileResponsive() {
        return new ConnectionPolicy.WhileResponsive(load);
    }

    boolean isLoopThread() {
        return Thread.currentThread() == thread;
    }

    /** Returns the buffer shared by all reads; its content is consumed before the next read. */
    ByteBuffer inputBuffer() {
        return inputBuffer;
    }

    /** Returns a buffer for reads that happen while {@link #inputBuffer} is in use. */
    ByteBuffer secondInputBuffer() {
        return secondInputBuffer;
    }

    ByteBuffer outputBuffer() {
        outputBuffer.clear();
        return outputBuffer;
    }

    private static void configure(SocketChannel channel) throws IOException {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_KEEPALIVE, true);
        channel.setOption(ExtendedSocketOptions.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS);
        channel.setOption(ExtendedSocketOptions.TCP_KEEPINTERVAL, KEEP_ALIVE_INTERVAL_SECONDS);
        channel.setOption(ExtendedSocketOptions.TCP_KEEPCOUNT, KEEP_ALIVE_PROBES);
    }

    private static void closeQuietly(Closeable channel) {
        if (channel == null) {
            return;
        }
        try {
            channel.close();
        } catch (IOException failure) {
            LOG.log(System.Logger.Level.DEBUG, "net: closing an unconnected channel failed: {0}", failure);
        }
    }

    private void runPosted() {
        for (Runnable task = postedTasks.poll(); task != null; task = postedTasks.poll()) {
            runGuarded(task);
        }
    }

    private void runTimers() {
        timers.removeDue(nowMillis()).forEach(EventLoop::runGuarded);
    }

    /** Runs a task and logs its failure, so that one faulty task does not end the thread that serves all others. */
    private static void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error failure) {
            CallbackGuard.noteFailure();
            LOG.log(System.Logger.Level.ERROR, "net: a task failed.", failure);
        }
    }

    /**
     * The attachment of a channel that is being opened.
     *
     * @param connectionFactory creates its connection.
     * @param onFailure receives the cause if the channel could not be opened.
     */
    private record ChannelAttachment(Function<EndPoint, Connection> connectionFactory, Consumer<Throwable> onFailure) {}

    /**
     * The executor given to Jetty: the first task is the selector loop and gets a thread, all others run on that
     * loop.
     */
    private final class LoopExecutor implements Executor {

        private final String name;

        private LoopExecutor(String name) {
            this.name = name;
        }

        /** {@inheritDoc} */
        @Override
        public void execute(Runnable task) {
            if (thread == null) {
                thread = new Thread(task, name);
                thread.start();
            } else {
                EventLoop.this.execute(task);
            }
        }
    }

    /** Runs Jetty's connect timeouts on the loop's own timer queue. */
    private final class LoopScheduler extends AbstractLifeCycle implements Scheduler {

        /** {@inheritDoc} */
        @Override
        public Task schedule(Runnable task, long delay, TimeUnit unit) {
            long dueMillis = nowMillis() + unit.toMillis(delay);
            if (isLoopThread()) {
                return timers.add(dueMillis, task);
            }
            AtomicBoolean cancelled = new AtomicBoolean();
            EventLoop.this.execute(() -> timers.add(dueMillis, () -> {
                if (!cancelled.get()) {
                    task.run();
                }
            }));
            return () -> !cancelled.getAndSet(true);
        }
    }

    /**
     * A listening channel.
     *
     * @param channel the channel.
     * @param acceptor ends the acceptance of its connections when closed.
     */
    private record Listener(ServerSocketChannel channel, Closeable acceptor) {}

    /** A Jetty selector manager that runs this loop's timers and posted tasks between two selections. */
    private final class LoopSelectorManager extends SelectorManager {

        private static final long CONNECT_TIMEOUT_MILLIS = 1_000L;

        private volatile Selector selector;

        private LoopSelectorManager(Executor executor, Scheduler scheduler) {
            super(executor, scheduler, 1);
            setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
        }

        private void wakeUp() {
            Selector current = selector;
            if (current != null && !isLoopThread()) {
                current.wakeup();
            }
        }

        /** {@inheritDoc} */
        @Override
        protected ManagedSelector newSelector(int id) {
            return new ManagedSelector(this, id) {
                /** {@inheritDoc} */
                @Override
                protected int nioSelect(Selector nio, boolean now) throws IOException {
                    selector = nio;
                    runPosted();
                    load.passEnded(nowMillis());
                    int selected = now ? nio.selectNow() : select(nio, timers.waitMillis(nowMillis()));
                    load.passStarted(nowMillis());
                    runPosted();
                    runTimers();
                    return selected;
                }

                private int select(Selector nio, long waitMillis) throws IOException {
                    if (waitMillis == 0 || !postedTasks.isEmpty()) {
                        return nio.selectNow();
                    }
                    return waitMillis == Long.MAX_VALUE ? nio.select() : nio.select(waitMillis);
                }
            };
        }

        /** {@inheritDoc} */
        @Override
        protected EndPoint newEndPoint(SelectableChannel channel, ManagedSelector managed, SelectionKey key) {
            if (channel instanceof DatagramChannel datagrams) {
                return new DatagramChannelEndPoint(datagrams, managed, key, getScheduler());
            }
            return new SocketChannelEndPoint((SocketChannel) channel, managed, key, getScheduler());
        }

        /** {@inheritDoc} */
        @Override
        public Connection newConnection(SelectableChannel channel, EndPoint endPoint, Object attachment) {
            return ((ChannelAttachment) attachment).connectionFactory.apply(endPoint);
        }

        /** {@inheritDoc} */
        @Override
        protected void accepted(SelectableChannel channel) throws IOException {
            SocketChannel socket = (SocketChannel) channel;
            Function<EndPoint, Connection> connectionFactory = connectionFactories.get(socket.getLocalAddress());
            socket.configureBlocking(false);
            configure(socket);
            accept(channel, new ChannelAttachment(connectionFactory, failure -> {}));
        }

        /** {@inheritDoc} */
        @Override
        protected void connectionFailed(SelectableChannel channel, Throwable failure, Object attachment) {
            ((ChannelAttachment) attachment).onFailure.accept(failure);
        }
    }
}
