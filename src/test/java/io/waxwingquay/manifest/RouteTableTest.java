package io.waxwingquay.manifest;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RouteTableTest {

    private final RouteTable table = RouteTable.of(
            List.of(route("all", "a.test", "/"), route("deep", "a.test", "/x/y/"), route("mid", "a.test", "/x/")));

    @Test
    void longestPrefixOfTheHostWins() {
        assertEquals(Optional.of("deep"), name("a.test", "/x/y/z"));
        assertEquals(Optional.of("mid"), name("A.test:8080", "/x/z"));
        assertEquals(Optional.of("all"), name("a.test", "/xy/"));
    }

    @Test
    void unknownHostHasNoRoute() {
        assertEquals(Optional.empty(), name("b.test", "/x/"));
    }

    @Test
    void splitsByWeight() {
        Route split = new Route(
                "r",
                "a.test",
                "/",
                Route.Kind.SAFE,
                1,
                1,
                0,
                0,
                List.of(new Route.Share("old", 90), new Route.Share("new", 10)),
                1,
                false,
                false);
        assertEquals("old", split.chooseService(0.0));
        assertEquals("old", split.chooseService(0.89));
        assertEquals("new", split.chooseService(0.91));
        assertEquals("new", split.chooseService(1.0));
    }

    private Optional<String> name(String host, String path) {
        return table.find(host, path).map(Route::name);
    }

    private static Route route(String name, String host, String prefix) {
        return new Route(
                name, host, prefix, Route.Kind.SAFE, 1, 1, 0, 0, List.of(new Route.Share("s", 1)), 1, false, false);
    }
}
