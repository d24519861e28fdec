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

/**
 * A fake engine whose steps a test triggers one by one. It allows overcommits and records the maximum of used memory.
 */
final class FakeEngine implements ModelEngine {

    final long capacityBytes;
    final Map<String, Long> residentBytesByItem = new LinkedHashMap<>();
    final List<Order> sentOrders = new ArrayList<>();
    final List<Order> lostOrders = new ArrayList<>();
    final List<OpenStream> streams = new ArrayList<>();
    final List<String> cancelled = new ArrayList<>();
    private final List<Order> openOrders = new ArrayList<>();
    private final Set<String> takenOrderIds = new HashSet<>();
    String bootId = "boot-1";
    boolean losesOrders;
    boolean fenced;
    boolean unreachable;
    long highestFence;
    long maxUsedBytes;

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
        sentOrders.add(order);
        if (losesOrders) {
            lostOrders.add(order);
            return CompletableFuture.failedFuture(new TargetException(Kind.LOST, "order lost", null));
        }
        return CompletableFuture.completedFuture(deliver(order));
    }

    /** Delivers an order to the engine. */
    synchronized OrderAnswer deliver(Order order) {
        if (fenced && order.fence() < highestFence) {
            return OrderAnswer.STALE_FENCE;
        }
        highestFence = Math.max(highestFence, order.fence());
        if (takenOrderIds.add(order.id())) {
            openOrders.add(order);
        }
        return OrderAnswer.TAKEN;
    }

    /** Completes all open orders. */
    synchronized void completeOrders() {
        for (Order order : openOrders) {
            if (order.kind() == OrderKind.LOAD) {
                residentBytesByItem.put(order.item(), order.bytes());
            } else {
                residentBytesByItem.remove(order.item());
            }
            maxUsedBytes = Math.max(maxUsedBytes, usedBytes());
        }
        openOrders.clear();
    }

    synchronized void restart() {
        bootId = bootId + "+";
        residentBytesByItem.clear();
        openOrders.clear();
        takenOrderIds.clear();
    }

    synchronized long usedBytes() {
        return residentBytesByItem.values().stream().mapToLong(Long::longValue).sum();
    }

    @Override
    public synchronized CompletableFuture<Residency> residency() {
        if (unreachable) {
            return CompletableFuture.failedFuture(new TargetException(Kind.UNREACHABLE, "engine is down", null));
        }
        List<Resident> residents = residentBytesByItem.entrySet().stream()
                .map(entry -> new Resident(entry.getKey(), entry.getValue()))
                .toList();
        return CompletableFuture.completedFuture(
                new Residency(bootId, capacityBytes, residents, List.copyOf(openOrders)));
    }

    @Override
    public CompletableFuture<EngineLoad> loadReport() {
        return CompletableFuture.completedFuture(new EngineLoad(0, 0, 0L, 0.0, 0L));
    }

    /** A stream that the side has opened. */
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
