package io.waxwingquay.hosted;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.standin.prepared.StoreStandin;
import io.waxwingquay.testing.Await;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The store comes back from a copy that is some seconds old; its versions go back and are given out again. */
class RestoredStoreTest {

    private static final int LOST_WRITES = 40;
    private static final int MORE_WRITES = 2 * LOST_WRITES;

    private HostedDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = new HostedDeployment();
    }

    @AfterEach
    void stop() {
        deployment.close();
    }

    // Guards against changes that count as outdated because their versions are lower than one that was known before
    // the store was restored: an acknowledged configuration was not in force for seconds.
    @Test
    void configurationIsAppliedAfterVersionsWentBack() throws Exception {
        deployment.store.restore(copyBeforeLostWrites());
        deployment.configure(2);
        deployment.configure(3, "/added/");
        Await.until(() -> deployment.ask("POST", "/added/1", "r1", "", "x").status() == 200);
    }

    // Guards against a change that is never seen, because the store gave out its version before it was restored, and
    // passed the last version that was known: a replica that had said that it leaves went on getting requests.
    @Test
    void departureUnderAVersionThatWasGivenOutBeforeIsSeen() throws Exception {
        StoreStandin.Copy copy = copyBeforeLostWrites();
        deployment.store.unavailable(true);
        deployment.store.restore(copy);
        deployment.configure(2);
        deployment.register(deployment.plain1, "p1", "plain", "draining");
        write(MORE_WRITES);
        deployment.store.unavailable(false);
        Await.until(() -> isDraining("p1"));
        deployment.assertNoneReach(deployment.plain1, "/p/1", "", 200);
    }

    // Guards against an acknowledged configuration that an entry goes without, because it started while the restored
    // store still held an older one: other entries have the newer one in force.
    @Test
    void entryThatStartsAfterTheRestoreTakesTheNewerConfigurationOfAnotherEntry() throws Exception {
        StoreStandin.Copy copy = deployment.store.copy();
        deployment.configure(2, "/added/");
        Await.until(() -> deployment.dump().contains("configuration=2"));
        deployment.store.restore(copy);
        deployment.startSecondEntry();
        Await.until(() -> deployment.askSecond("/added/1", "r2").status() == 200);
        assertEquals(200, deployment.ask("POST", "/added/1", "r3", "", "x").status());
    }

    /** Returns a copy that lacks writes which the entry has read; the last of them is the second configuration. */
    private StoreStandin.Copy copyBeforeLostWrites() throws Exception {
        StoreStandin.Copy copy = deployment.store.copy();
        write(LOST_WRITES);
        deployment.configure(2);
        Await.until(() -> deployment.dump().contains("configuration=2"));
        deployment.list(deployment.plain2, "p2", "plain");
        assertEquals(200, deployment.ask("POST", "/p/1", "r0", "", "x").status());
        return copy;
    }

    private void write(int count) {
        for (int number = 0; number < count; number++) {
            deployment.store.put("other", "key", "value " + number);
        }
    }

    private boolean isDraining(String id) throws Exception {
        return Pattern.compile("id=" + id + ",[^\\]]*draining=true")
                .matcher(deployment.dump())
                .find();
    }
}
