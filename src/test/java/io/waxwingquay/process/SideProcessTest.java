package io.waxwingquay.process;

import static org.junit.jupiter.api.Assertions.assertFalse;

import io.waxwingquay.bench.SettingsText;
import io.waxwingquay.bundle.Bundle;
import io.waxwingquay.bundle.BundleDocument;
import io.waxwingquay.bundle.KeyCodec;
import io.waxwingquay.common.HostPort;
import io.waxwingquay.settings.SideSettings;
import io.waxwingquay.standin.PlatformStandin;
import io.waxwingquay.testing.Await;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class SideProcessTest {

    private static final HostPort NOBODY = new HostPort("127.0.0.1", 9);

    // A side is told to stop before it has a bundle. Nothing is under way, so it closes its parts one after the
    // other; the bundle comes meanwhile, the side opens and takes requests, and the close cuts them. A side that
    // has begun to leave opens no more.
    @Test
    void sideThatLeavesDoesNotOpen() throws Exception {
        Bundle bundle = bundle();
        Bundle.Service service = bundle.services().get(0);
        try (PlatformStandin platform = PlatformStandin.builder().start()) {
            String key = KeyCodec.encode(KeyCodec.generate().getPublic());
            String text = new SettingsText(new HostPort("127.0.0.1", platform.port()), key, 1, 1_000L, 0L)
                    .side(service, 0, NOBODY, List.of(0, 0));
            SideProcess side = SideProcess.start(SideSettings.parse("side", text.getBytes(StandardCharsets.UTF_8)));
            CompletableFuture<Void> left = side.drain();
            side.adopted(bundle);
            assertFalse(side.isReady());
            Await.value(left);
        }
    }

    private static Bundle bundle() throws Exception {
        try (InputStream document = SideProcessTest.class.getResourceAsStream("/scenarios/bundle.toml")) {
            return BundleDocument.parse("bundle", document.readAllBytes());
        }
    }
}
