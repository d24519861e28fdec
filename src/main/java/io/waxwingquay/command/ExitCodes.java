package io.waxwingquay.command;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The exit codes of every command.
 */
public final class ExitCodes {

    /** It did what was asked. */
    public static final int OK = 0;

    /** It failed, and nothing was changed. */
    public static final int FAILED = 1;

    /** The command line was wrong. */
    public static final int USAGE = 2;

    /** What was asked was refused. */
    public static final int REFUSED = 3;

    /** Whether it took effect is unknown. */
    public static final int UNKNOWN_OUTCOME = 4;

    private ExitCodes() {}

    static Map<String, String> descriptions() {
        Map<String, String> codes = new LinkedHashMap<>();
        codes.put(" " + OK, "ok");
        codes.put(" " + FAILED, "failed; nothing was changed");
        codes.put(" " + USAGE, "wrong command line");
        codes.put(" " + REFUSED, "refused, for the reason printed");
        codes.put(" " + UNKNOWN_OUTCOME, "unknown whether it took effect; ask 'bundle status'");
        return codes;
    }
}
