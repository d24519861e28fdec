package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.waxwingquay.hosted.HostedDeployment.Answer;
import io.waxwingquay.net.ServerExchange;
import io.waxwingquay.standin.prepared.ReplicaStandin;
import io.waxwingquay.standin.prepared.ReplicaStandin.Behaviour;
import io.waxwingquay.suspect.PromptPartSuspects;
import io.waxwingquay.testing.Await;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

/** A sound prompt part is running at each crash but one of an engine that another part crashes. */
class ExplainedPromptPartTest {

    private static final String CRASHING = "bad0";
    private static final String SOUND = "sound0";
    private static final Logger LOGGER = (Logger) LoggerFactory.getLogger("waxwingquay.suspect");

    private final ListAppender<ILoggingEvent> logged = new ListAppender<>();

    private Level previousLevel;
    private HostedDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        logged.start();
        previousLevel = LOGGER.getLevel();
        LOGGER.setLevel(Level.INFO);
        LOGGER.addAppender(logged);
        deployment = new HostedDeployment();
        // With a second engine, suspects would be isolated from each other there.
        deployment.unlist("e2");
        deployment.engine1.behaviour(new CrashBesideHeld());
    }

    @AfterEach
    void stop() {
        deployment.close();
        LOGGER.detachAppender(logged);
        LOGGER.setLevel(previousLevel);
    }

    // Guards against refusing a sound part until its crashes expire, because it was answered nowhere between them.
    @Test
    void soundPartIsServedAgainAndTheCrashingOneStaysQuarantined() throws Exception {
        // Before another shared part a crash weighs 1, so that both parts reach the quarantine with the same crash.
        ask("alone", CRASHING + ":50,f1:100,own:7");
        for (int number = 0; number < 3; number++) {
            deployment.listIncarnation(deployment.engine1, "e1", "engines");
            crashBesideSound(number);
        }
        deployment.engine1.behaviour(Behaviour.crashOn(CRASHING, "", Behaviour.stream(2, 0)));
        deployment.listIncarnation(deployment.engine1, "e1", "engines");
        deployment.list(deployment.engine2, "e2", "engines");
        Await.until(() -> deployment.dump().contains("quarantined_parts=1 "));
        assertTrue(wasQuarantined(SOUND));
        assertEquals(200, ask("sound-late", "f0:100," + SOUND + ":50,late:7").status());
        int startsBefore = starts();
        assertEquals(503, ask("bad-late", "f0:100," + CRASHING + ":50,late:7").status());
        assertEquals(startsBefore, starts());
    }

    private int starts() {
        return deployment.engine1.startedAttemptIds().size()
                + deployment.engine2.startedAttemptIds().size();
    }

    /** Returns whether a process has quarantined the part, which may be over within seconds. */
    private boolean wasQuarantined(String part) {
        String line = "suspect: prompt part quarantined part=" + Long.toHexString(PromptPartSuspects.hash(part));
        synchronized (logged) {
            return logged.list.stream()
                    .anyMatch(event -> event.getFormattedMessage().equals(line));
        }
    }

    /** Crashes the engine while it runs a sound request, and waits for the answers to both callers. */
    private void crashBesideSound(int number) throws Exception {
        String soundId = "sound-" + number;
        CompletableFuture<Answer> sound =
                CompletableFuture.supplyAsync(() -> askUnchecked(soundId, "f0:100," + SOUND + ":50,o" + number + ":7"));
        Await.until(() -> deployment.engine1.startedAttemptIds().contains(soundId));
        ask("bad-" + number, "f0:100," + CRASHING + ":50,own" + number + ":7");
        Await.value(sound);
    }

    private Answer askUnchecked(String id, String parts) {
        try {
            return ask(id, parts);
        } catch (IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }

    private Answer ask(String id, String parts) throws IOException {
        return deployment.ask("POST", "/s/" + id, id, "Model: m\r\nPrompt-Prefix: " + parts + "\r\n", id);
    }

    /** Holds requests without an answer, until one with the crashing part breaks them all with itself. */
    private static final class CrashBesideHeld implements Behaviour {

        private final List<ServerExchange> held = new ArrayList<>();

        /** {@inheritDoc} */
        @Override
        public void run(ReplicaStandin replica, ServerExchange caller) {
            held.add(caller);
            if (caller.request().fields().get("Prompt-Prefix").contains(CRASHING + ":")) {
                replica.restart();
                held.forEach(ServerExchange::abort);
                held.clear();
            }
        }
    }
}
