package io.waxwingquay.side;

import io.waxwingquay.engine.ModelEngine;
import io.waxwingquay.engine.TargetException;
import io.waxwingquay.engine.TargetException.Kind;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** An engine whose every step a test takes by hand. It refuses no overcommit but remembers the worst. */
final class FakeEngine implements ModelEngine {

    final long capacityBytes;
    final Map<String, Long> memory = new LinkedHashMap<>();
    final List<Order> sent = new ArrayList<>();
    final List<Order> lost = new ArrayList<>();
    final List<OpenStream> streams = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    private final List<Order> open = new ArrayList<>();
    private final Set<String> taken = new HashSet<>();
    String bootId = "boot-1";
    boolean losesOrders;
    boolean fenced;
    boolean unreachable;
    long highestFence;
    long worstBytes;

    FakeEngine(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    @Override
    public synchronized AutoCloseable stream(Generation generation, long fromOffset, Listener listener) {
        streams.add(new OpenStream(generation, fromOffset, listener));
        return () -> {};
    }

    @Override
    public synchronized CompletableFuture<Void> cancel(String generationId) {
        cancelled.add(generationId);
        return CompletableFuture.completedFuture(null);
    }

    @Override
    public synchronized CompletableFuture<OrderAnswer> order(Order order) {
        sent.add(order);
        if (losesOrders) {
            lost.add(order);
            return CompletableFuture.failedFuture(new TargetException(Kind.LOST, "order lost", null));
        }
        return CompletableFuture.completedFuture(land(order));
    }

    /** Lets an order arrive. */
    synchronized OrderAnswer land(Order order) {
        if (fenced && order.fence() < highestFence) {
            return OrderAnswer.STALE_FENCE;
        }
        highestFence = Math.max(highestFence, order.fence());
        if (taken.add(order.id())) {
            open.add(order);
        }
        return OrderAnswer.TAKEN;
    }

    /** Does all open orders. */
    synchronized void work() {
        for (Order order : open) {
            if (order.kind() == OrderKind.LOAD) {
                memory.put(order.item(), order.bytes());
            } else {
                memory.remove(order.item());
            }
            worstBytes = Math.max(worstBytes, usedBytes());
        }
        open.clear();
    }

    synchronized void restart() {
        bootId = bootId + "+";
        memory.clear();
        open.clear();
        taken.clear();
    }

    synchronized long usedBytes() {
        return memory.values().stream().mapToLong(Long::longValue).sum();
    }

    @Override
    public synchronized CompletableFuture<Residency> residency() {
        if (unreachable) {
            return CompletableFuture.failedFuture(new TargetException(Kind.UNREACHABLE, "engine is down", null));
        }
        List<Resident> residents = memory.entrySet().stream()
                .map(entry -> new Resident(entry.getKey(), entry.getValue()))
                .toList();
        return CompletableFuture.completedFuture(new Residency(bootId, capacityBytes, residents, List.copyOf(open)));
    }

    @Override
    public CompletableFuture<EngineLoad> loadReport() {
        return CompletableFuture.completedFuture(new EngineLoad(0, 0, 0L, 0.0, 0L));
    }

    /** One opened stream. */
    record OpenStream(Generation generation, long fromOffset, Listener listener) {

        void tokens(long from, String... texts) {
            for (int i = 0; i < texts.length; i++) {
                listener.onToken(from + i, texts[i]);
            }
        }

        void finish(long total) {
            listener.onEnd(OptionalLong.of(total), Optional.empty());
        }

        void cut() {
            listener.onEnd(OptionalLong.empty(), Optional.of(new TargetException(Kind.LOST, "stream cut", null)));
        }
    }
}
