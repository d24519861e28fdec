package io.waxwingquay.origin;

import io.waxwingquay.common.Delayer;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.transport.generated.OriginQuestion;
import io.waxwingquay.transport.generated.OriginReply;
import io.waxwingquay.transport.generated.OriginReport;
import io.waxwingquay.transport.generated.StreamOrigin;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The origins of streams, as one entry knows them or finds them out.
 *
 * <p>The origin of each stream is reported at its first event to two processes beside engines, chosen by rendezvous hashing
 * of the stream's id. An entry that did not see a stream begin asks these processes.
 *
 * <p>Failure: an entry or a process that has just started knows of no other version and of no report. Symptom if that counted
 * as knowledge: a stream is resumed at a version that did not start it. So a stream that its caller names is resumed only at
 * a version that somebody states for it, and any other is refused: a report or an answer that is lost costs a stream.
 */
public final class StreamOrigins {

    /** The version of a replica that states none or has restarted since it did; a stream that it started can't be resumed. */
    public static final String UNKNOWN_VERSION = "";

    /** Processes that keep the origin of one stream. */
    private static final int KEEPERS = 2;

    /** Processes that are asked: a few more, as the entry that reported may have known other processes. */
    private static final int ASKED = 4;

    /** Time after which they are asked again, also those that keep no report: it may arrive after the question. */
    static final long REPEAT_MILLIS = 40L;

    /**
     * How often they are asked before nobody states the origin. Times would not do: timers run before input, so that after a
     * stall of the loop the time for an answer that has arrived would be over before it is read.
     */
    private static final int MAX_ROUNDS = 3;

    /** Origins in one report, which fits a datagram. */
    private static final int MAX_ORIGINS_PER_REPORT = 12;

    private final ServedVersions served;
    private final Channel channel;
    private final Delayer delayer;
    private final LongSupplier clockMillis;
    private final long startedMillis;
    private final Map<Long, Known> unfinished = new LinkedHashMap<>();
    private final Map<Long, Search> searches = new HashMap<>();
    private Keepers keepers = Keepers.of(Set.of());

    /**
     * Creates an entry's view without streams.
     *
     * @param channel sends messages to the processes that keep origins.
     * @param delayer runs tasks later.
     * @param clockMillis the monotonic clock.
     */
    public StreamOrigins(Channel channel, Delayer delayer, LongSupplier clockMillis) {
        this.channel = channel;
        this.delayer = delayer;
        this.clockMillis = clockMillis;
        this.startedMillis = clockMillis.getAsLong();
        this.served = new ServedVersions(clockMillis);
    }

    /**
     * Returns the versions of each service, which follow the list of replicas.
     *
     * @return the versions.
     */
    public ServedVersions served() {
        return served;
    }

    /**
     * Sets the processes that may keep origins. The origins of streams that have not ended are reported to those that have
     * to keep them now and did not before.
     *
     * @param current their addresses.
     */
    public void processes(Set<HostPort> current) {
        if (keepers.areExactly(current)) {
            return;
        }
        keepers = Keepers.of(current);
        dropExpired();
        Reports reports = new Reports();
        unfinished.forEach((stream, known) -> {
            List<HostPort> before = known.reportedTo;
            known.reportedTo = keepers.rankedFor(stream, KEEPERS);
            known.reportedTo.stream()
                    .filter(keeper -> !before.contains(keeper))
                    .forEach(keeper -> reports.add(keeper, new StreamOrigin(stream, known.softwareVersion)));
        });
        reports.send();
    }

    /**
     * Reports to a process that has restarted at its address, and has lost them, the origins of streams that have not ended.
     *
     * @param process its address.
     */
    public void restarted(HostPort process) {
        dropExpired();
        Reports reports = new Reports();
        unfinished.forEach((stream, known) -> {
            if (known.reportedTo.contains(process)) {
                reports.add(process, new StreamOrigin(stream, known.softwareVersion));
            }
        });
        reports.send();
    }

    /**
     * Notes that a replica sent the first event of a stream; called before that event goes to the caller.
     *
     * @param stream the stream.
     * @param softwareVersion the software version of the replica, or {@link #UNKNOWN_VERSION}.
     */
    public void began(StreamName stream, String softwareVersion) {
        dropExpired();
        long hash = stream.hash();
        Known known = unfinished.computeIfAbsent(hash, key -> new Known(softwareVersion, clockMillis.getAsLong()));
        known.reportedTo = keepers.rankedFor(hash, KEEPERS);
        Reports reports = new Reports();
        known.reportedTo.forEach(keeper -> reports.add(keeper, new StreamOrigin(hash, known.softwareVersion)));
        reports.send();
    }

    /**
     * Notes that a stream has come to its end, so that nobody will take it up.
     *
     * @param stream the stream.
     */
    public void completed(StreamName stream) {
        unfinished.remove(stream.hash());
    }

    /**
     * Finds the software version that started a stream which a caller resumes here.
     *
     * @param stream the stream.
     * @param decision called with what was found out, before this method returns or soon after.
     */
    public void find(StreamName stream, Consumer<OriginFinding> decision) {
        long hash = stream.hash();
        Known known = unfinished.get(hash);
        if (known != null) {
            decision.accept(OriginFinding.of(known.softwareVersion, OriginFinding.Source.THIS_ENTRY, 0));
        } else {
            search(hash, decision);
        }
    }

    /**
     * Finds the software version that started a stream whose caller does not name it, so that nobody can be asked.
     *
     * @param service the service that runs it.
     * @return the only version that this entry has listed for as long as a stream may last, if there is one.
     */
    public OriginFinding findUnnamed(String service) {
        return served.sole(service)
                .map(version -> OriginFinding.of(version, OriginFinding.Source.REPLICA_LIST, 0))
                .orElseGet(() -> OriginFinding.unknown(0));
    }

    /**
     * Returns for how long this entry has followed streams.
     *
     * @return the time since its start.
     */
    public long ageMillis() {
        return clockMillis.getAsLong() - startedMillis;
    }

    /**
     * Takes the answer to a question.
     *
     * @param process the process that answers.
     * @param reply the answer.
     */
    public void replied(HostPort process, OriginReply reply) {
        Optional.ofNullable(searches.get(reply.getStream())).ifPresent(search -> search.replied(process, reply));
    }

    private void search(long stream, Consumer<OriginFinding> decision) {
        Search running = searches.get(stream);
        if (running != null) {
            running.decisions.add(decision);
            return;
        }
        List<HostPort> asked = keepers.rankedFor(stream, ASKED);
        if (asked.isEmpty()) {
            decision.accept(OriginFinding.unknown(0));
            return;
        }
        Search search = new Search(stream, asked);
        search.decisions.add(decision);
        searches.put(stream, search);
        search.ask();
    }

    private void dropExpired() {
        long expiredMillis = clockMillis.getAsLong() - OriginTable.RETENTION_MILLIS;
        Iterator<Known> oldestFirst = unfinished.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().sinceMillis < expiredMillis) {
            oldestFirst.remove();
        }
    }

    /** Sends messages to processes that keep origins. */
    public interface Channel {

        /**
         * Reports origins.
         *
         * @param process the receiver.
         * @param report the report.
         */
        void report(HostPort process, OriginReport report);

        /**
         * Asks for an origin.
         *
         * @param process the receiver.
         * @param question the question.
         */
        void ask(HostPort process, OriginQuestion question);
    }

    private static final class Known {

        private final String softwareVersion;
        private final long sinceMillis;
        /** The processes that a report was sent to; whether it arrived is not known. */
        private List<HostPort> reportedTo = List.of();

        private Known(String softwareVersion, long sinceMillis) {
            this.softwareVersion = softwareVersion;
            this.sinceMillis = sinceMillis;
        }
    }

    /** Reports that are due, by their receivers. */
    private final class Reports {

        private final Map<HostPort, List<StreamOrigin>> byKeeper = new HashMap<>();

        private void add(HostPort keeper, StreamOrigin origin) {
            byKeeper.computeIfAbsent(keeper, address -> new ArrayList<>()).add(origin);
        }

        private void send() {
            byKeeper.forEach((keeper, origins) -> {
                for (int from = 0; from < origins.size(); from += MAX_ORIGINS_PER_REPORT) {
                    int to = Math.min(origins.size(), from + MAX_ORIGINS_PER_REPORT);
                    channel.report(keeper, new OriginReport(List.copyOf(origins.subList(from, to))));
                }
            });
        }
    }

    /** The search for the origin of one stream. */
    private final class Search {

        private final long stream;
        private final List<HostPort> asked;
        private int rounds;
        private final Set<HostPort> withoutReport = new HashSet<>();
        private final List<Consumer<OriginFinding>> decisions = new ArrayList<>();

        private Search(long stream, List<HostPort> asked) {
            this.stream = stream;
            this.asked = asked;
        }

        /** Asks again and again; each round begins only after the input of the one before could be read. */
        private void ask() {
            if (searches.get(stream) != this) {
                return;
            }
            if (rounds == MAX_ROUNDS) {
                decide(OriginFinding.unknown(withoutReport.size()));
                return;
            }
            rounds++;
            delayer.schedule(REPEAT_MILLIS, this::ask);
            asked.forEach(process -> channel.ask(process, new OriginQuestion(stream)));
        }

        private void replied(HostPort process, OriginReply reply) {
            if (reply.isSetSoftwareVersion()) {
                decide(OriginFinding.of(reply.getSoftwareVersion(), OriginFinding.Source.REPORT, withoutReport.size()));
            } else {
                withoutReport.add(process);
            }
        }

        private void decide(OriginFinding finding) {
            searches.remove(stream);
            decisions.forEach(decision -> decision.accept(finding));
        }
    }
}
