package io.waxwingquay.peer;

import io.waxwingquay.common.HostPort;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Tells from the numbers of status updates when a process has restarted at its address. */
public final class RestartDetector {

    private final Map<HostPort, Long> lastNumbers = new HashMap<>();

    /**
     * Notes the number of an update.
     *
     * @param process the sender.
     * @param number the number, from its {@link UpdateSequence}.
     * @return whether the update is the first that was heard of an incarnation of the process.
     */
    public boolean isFirstOfIncarnation(HostPort process, long number) {
        Long last = lastNumbers.get(process);
        if (last != null && UpdateSequence.isSuperseded(number, last)) {
            return false;
        }
        lastNumbers.put(process, number);
        return last == null || !UpdateSequence.isSameIncarnation(number, last);
    }

    /**
     * Forgets the processes that no longer exist.
     *
     * @param current the addresses of those that do.
     */
    public void retain(Set<HostPort> current) {
        lastNumbers.keySet().retainAll(current);
    }
}
