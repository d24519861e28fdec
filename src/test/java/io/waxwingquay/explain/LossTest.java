package io.waxwingquay.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class LossTest {

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "401 | 0 | 0 | 0 | no client account holds its key key_sent=true version=3 | UNAUTHORIZED",
                "429 | 0 | 0 | 0 | the quota of its account is spent account=a units=900 | OVER_QUOTA",
                "503 | 0 | 0 | 0 | model m is in no engine | MODEL_ABSENT",
                "503 | 900 | 0 | 0 | adapter a1 does not come | ADAPTER_ABSENT",
                "503 | 4 | 0 | 0 | no room | NO_ROOM",
                "503 | 4 | 0 | 0 | no room, slot denied by 3 engines | NO_ROOM",
                "503 | 4 | 0 | 0 | no room for its prompt, slot denied by 1 engine | NO_ROOM",
                "503 | 4 | 0 | 0 | adapter a1 does not come, slot denied by 1 engine | ADAPTER_ABSENT",
                "503 | 4 | 0 | 0 | model m is in no engine, slot denied by 1 engine | MODEL_ABSENT",
                "503 | 4 | 0 | 0 | its engine leaves, slot denied by 1 engine | REFUSED_OTHERWISE",
                "503 | 4 | 0 | 0 | no replica can be reached | REFUSED_OTHERWISE",
                "0 | 400 | 0 | 0 | the caller left | CALLER_LEFT",
                "504 | 0 | 0 | 0 | its time is over | TIME_OVER",
                "500 | 0 | 0 | 0 | answered by e1 | REPLICA_FAILED",
                "0 | 0 | 90 | 10 | the answer ended early | REPLICA_LOST",
                "502 | 0 | 0 | 0 | Connection reset | REPLICA_LOST",
                "404 | 0 | 0 | 0 | answered by e1 | CALLER_ERROR",
                "200 | 400 | 600 | 300 | streamed by e1 | LATE_WAITED_HERE",
                "200 | 100 | 600 | 300 | streamed by e1 | LATE_WAITED_IN_ENGINE",
                "200 | 0 | 90 | 300 | streamed by e1 | LATE_BY_PAUSE",
                "200 | 0 | 90 | 30 | streamed by e1 | NONE"
            })
    void classifiesEndedRequest(
            int status,
            long entryWaitMillis,
            long firstEventMillis,
            long longestPauseMillis,
            String reason,
            Loss expected) {
        EndedRequest request = new EndedRequest(
                0, "r", "m", status, entryWaitMillis, firstEventMillis, longestPauseMillis, 500, 250, reason);
        assertEquals(expected, Loss.of(request));
    }

    // Guards against requests refused by their account or its quota that no count shows.
    @Test
    void parsesTheLineOfARequestRefusedAtTheDoor() {
        EndedRequest request = EndedRequest.parse("  1.5 front-1 2026-08-28T10:41:26.058Z INFO  forward: refused id=d4"
                        + " route=r-1 status=429 why=the quota of its account is spent account=a units=900")
                .orElseThrow();
        assertEquals("r-1", request.route());
        assertEquals(Loss.OVER_QUOTA, Loss.of(request));
    }

    // Guards against logs of which nothing is counted, as the line has fields that the parser does not know.
    @ParameterizedTest
    @ValueSource(strings = {"", " slot_ms=12 slots_asked=2"})
    void parsesAnEntryLogLineWithAndWithoutTheWaitForSlots(String slotFields) {
        EndedRequest request = EndedRequest.parse(
                        "  1.5 front-1 2026-08-28T10:41:26.058Z INFO  forward: ended id=d4 route=r-1"
                                + " service=s model=m/a1 status=200 sent=1 took_ms=2058 first_ms=90 pause_ms=30 waited_ms=7"
                                + " objective_ms=500 pause_objective_ms=250" + slotFields + " why=streamed by e1")
                .orElseThrow();
        assertEquals("m/a1", request.model());
        assertEquals(7, request.entryWaitMillis());
        assertEquals(90, request.firstEventMillis());
        assertEquals("streamed by e1", request.reason());
        assertTrue(EndedRequest.parse("INFO  residency: state running=0").isEmpty());
    }
}
