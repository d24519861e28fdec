package io.waxwingquay.command;

import io.waxwingquay.common.HostPort;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpStatus;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Prints the state dump of a running process, fetched from its admin port.
 */
@Command(
        name = "dump",
        description = "Prints the full state of a running process as JSON.",
        mixinStandardHelpOptions = true)
final class DumpCommand implements Callable<Integer> {

    private static final long TIMEOUT_SECONDS = 10;

    @Spec
    private CommandSpec spec;

    @Option(names = "--address", required = true, description = "host:port of the process's admin port")
    private String address;

    /** {@inheritDoc} */
    @Override
    public Integer call() {
        try {
            return printDump(HostPort.of(address));
        } catch (IllegalArgumentException failure) {
            return printError(failure.getMessage(), ExitCodes.USAGE);
        } catch (Exception failure) {
            return printError(
                    "failed: cannot read the state dump of " + address + ": " + failure.getMessage(), ExitCodes.FAILED);
        }
    }

    private int printDump(HostPort adminAddress) throws Exception {
        HttpClient client = new HttpClient();
        client.start();
        try {
            ContentResponse response = client.newRequest("http://" + adminAddress + "/dump")
                    .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .send();
            if (response.getStatus() != HttpStatus.OK_200) {
                return printError("failed: " + address + " answered " + response.getStatus(), ExitCodes.FAILED);
            }
            spec.commandLine().getOut().println(response.getContentAsString());
            return ExitCodes.OK;
        } finally {
            client.stop();
        }
    }

    private int printError(String message, int exitCode) {
        spec.commandLine().getErr().println(message);
        return exitCode;
    }
}
