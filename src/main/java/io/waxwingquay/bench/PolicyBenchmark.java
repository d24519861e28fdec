package io.waxwingquay.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Measures policies against each other: each seed runs under every policy in turn, so that what the machine does
 * meanwhile falls on all of them.
 *
 * @param workload the workload's name.
 * @param policies the policies' names.
 * @param seedCount how many seeds, from 1.
 * @param secondsPerRun how long each run sends requests.
 * @param fault the fault's name.
 * @param bundleDirectory the directory of the bundle files.
 * @param outputDirectory where the report goes.
 */
public record PolicyBenchmark(
        String workload,
        List<String> policies,
        int seedCount,
        int secondsPerRun,
        String fault,
        Path bundleDirectory,
        Path outputDirectory) {

    /**
     * Checks the names.
     *
     * @throws IllegalArgumentException if a name is not known, or the workload's bundle is not there.
     */
    public PolicyBenchmark {
        Path bundle = bundleDirectory.resolve(Workload.named(workload).bundleFile());
        if (!Files.isRegularFile(bundle)) {
            throw new IllegalArgumentException("bundle file " + bundle + " of workload " + workload
                    + " is not there; run at the repository's root or give --bundles");
        }
        Fault.named(fault);
        policies = List.copyOf(policies);
        policies.forEach(PolicyPair::named);
    }

    /**
     * Runs all and writes table, CSV, JSON and plot.
     *
     * @param out where the table and the traces go.
     * @throws IOException if a bundle cannot be read or a report not be written.
     * @throws InterruptedException if a wait is interrupted.
     */
    public void run(PrintWriter out) throws IOException, InterruptedException {
        System.setProperty("java.awt.headless", "true");
        Workload loadedWorkload = Workload.named(workload);
        Fault injectedFault = Fault.named(fault);
        List<PolicyPair> pairs = policies.stream().map(PolicyPair::named).toList();
        List<RunResult> results = new ArrayList<>();
        for (int seed = 1; seed <= seedCount; seed++) {
            for (PolicyPair pair : pairs) {
                results.add(new LoadRun(loadedWorkload, pair, injectedFault, seed, secondsPerRun)
                        .measure(bundleDirectory, out));
            }
        }
        BenchReport report = new BenchReport(results);
        String name = workload + "-" + injectedFault.title();
        report.write(outputDirectory, name);
        BenchPlot.write(
                outputDirectory.resolve(name + ".png"),
                workload + ", fault: " + injectedFault.title(),
                report.byPolicy());
        out.println(
                workload + ", fault " + injectedFault.title() + ", " + seedCount + " seeds of " + secondsPerRun + " s");
        out.print(report.toTable());
        out.flush();
    }
}
