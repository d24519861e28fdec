package io.waxwingquay.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Compares policies: each seed runs under every policy in turn, so that a change in the load of the machine affects
 * all policies alike.
 *
 * @param workloadName the workload's name.
 * @param policyNames the policies' names.
 * @param seedCount number of seeds; they count from 1.
 * @param secondsPerRun duration of the load of each run.
 * @param faultName the fault's name.
 * @param bundleDirectory directory of the bundle files.
 * @param outputDirectory directory that the report is written to.
 */
public record PolicyBenchmark(
        String workloadName,
        List<String> policyNames,
        int seedCount,
        int secondsPerRun,
        String faultName,
        Path bundleDirectory,
        Path outputDirectory) {

    /**
     * Checks that the workload, the fault and the policies exist.
     *
     * @throws IllegalArgumentException if a name is unknown or the workload's bundle file does not exist.
     */
    public PolicyBenchmark {
        Path bundle = bundleDirectory.resolve(Workload.named(workloadName).bundleFile());
        if (!Files.isRegularFile(bundle)) {
            throw new IllegalArgumentException("bundle file " + bundle + " of workload " + workloadName
                    + " is not there; run at the repository's root or give --bundles");
        }
        Fault.named(faultName);
        policyNames = List.copyOf(policyNames);
        policyNames.forEach(PolicyPair::named);
    }

    /**
     * Runs every seed under every policy and writes the table, CSV, JSON and plot.
     *
     * @param out receives the table and a summary of each run.
     * @throws IOException if a bundle cannot be read or a report cannot be written.
     * @throws InterruptedException if a wait is interrupted.
     */
    public void run(PrintWriter out) throws IOException, InterruptedException {
        System.setProperty("java.awt.headless", "true");
        Workload workload = Workload.named(workloadName);
        Fault fault = Fault.named(faultName);
        List<PolicyPair> policies = policyNames.stream().map(PolicyPair::named).toList();
        List<RunResult> results = new ArrayList<>();
        for (int seed = 1; seed <= seedCount; seed++) {
            for (PolicyPair pair : policies) {
                results.add(new LoadRun(workload, pair, fault, seed, secondsPerRun).measure(bundleDirectory, out));
            }
        }
        BenchReport report = new BenchReport(results);
        String name = workloadName + "-" + fault.title();
        report.write(outputDirectory, name);
        BenchPlot.write(
                outputDirectory.resolve(name + ".png"), workloadName + ", fault: " + fault.title(), report.byPolicy());
        out.println(workloadName + ", fault " + fault.title() + ", " + seedCount + " seeds of " + secondsPerRun + " s");
        out.print(report.toTable());
        out.flush();
    }
}
