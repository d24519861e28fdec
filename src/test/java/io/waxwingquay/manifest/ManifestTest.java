package io.waxwingquay.manifest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.waxwingquay.net.ServerLimits;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ManifestTest {

    // Guards against deployments whose slots are granted because of routes that are no streams, or go to other
    // services.
    @Test
    void countsThePriorityClassesOfTheStreamsOfAService() {
        Manifest manifest = new Manifest(
                1,
                List.of(
                        route("a", Route.Kind.STREAM, 0, "engines"),
                        route("b", Route.Kind.STREAM, 1, "engines"),
                        route("c", Route.Kind.STREAM, 1, "engines"),
                        route("d", Route.Kind.STREAM, 2, "others"),
                        route("e", Route.Kind.SAFE, 3, "engines")),
                Map.of(),
                ServerLimits.DEFAULT);
        assertEquals(2, manifest.streamPriorityClasses("engines"));
        assertEquals(1, manifest.streamPriorityClasses("others"));
        assertEquals(0, manifest.streamPriorityClasses("none"));
    }

    private static Route route(String name, Route.Kind kind, int priority, String service) {
        return new Route(
                name,
                "host",
                "/" + name + "/",
                kind,
                10_000,
                400,
                200,
                priority,
                List.of(new Route.Share(service, 1)),
                1,
                false,
                true);
    }
}
