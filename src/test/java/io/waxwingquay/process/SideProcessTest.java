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

    private static final HostPort UNREACHABLE = new HostPort("127.0.0.1", 9);

    // Guards against requests that are cut off when a side is stopped before it has a bundle. Nothing is in flight, so
    // it closes its components at once, and a bundle that arrives meanwhile must not make it accept requests.
    @Test
    void doesNotStartServingWhileDraining() throws Exception {
        Bundle bundle = bundle();
        Bundle.Service service = bundle.services().get(0);
        try (PlatformStandin platform = PlatformStandin.builder().start()) {
            String key = KeyCodec.encode(KeyCodec.generate().getPublic());
            String text = new SettingsText(new HostPort("127.0.0.1", platform.port()), key, 1, 1_000L, 0L)
                    .side(service, 0, UNREACHABLE, List.of(0, 0));
            SideProcess side = SideProcess.start(SideSettings.parse("side", text.getBytes(StandardCharsets.UTF_8)));
            CompletableFuture<Void> drained = side.drain();
            side.onBundleAdopted(bundle);
            assertFalse(side.isReady());
            Await.value(drained);
        }
    }

    private static Bundle bundle() throws Exception {
        try (InputStream document = SideProcessTest.class.getResourceAsStream("/scenarios/bundle.toml")) {
            return BundleDocument.parse("bundle", document.readAllBytes());
        }
    }
}
