package io.waxwingquay.command;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Exit codes shared by all commands.
 */
public final class ExitCodes {

    /** The command succeeded. */
    public static final int OK = 0;

    /** The command failed without changing anything. */
    public static final int FAILED = 1;

    /** The command line was invalid. */
    public static final int USAGE = 2;

    /** The requested action was refused. */
    public static final int REFUSED = 3;

    /** It is unknown whether the requested action took effect. */
    public static final int UNKNOWN_OUTCOME = 4;

    private ExitCodes() {}

    /** Returns the description of each exit code for the usage message, in the order of the codes. */
    static Map<String, String> descriptions() {
        Map<String, String> codes = new LinkedHashMap<>();
        codes.put(" " + OK, "ok");
        codes.put(" " + FAILED, "failed; nothing was changed");
        codes.put(" " + USAGE, "invalid command line");
        codes.put(" " + REFUSED, "refused, for the printed reason");
        codes.put(" " + UNKNOWN_OUTCOME, "unknown whether it took effect; run 'bundle status'");
        return codes;
    }
}
