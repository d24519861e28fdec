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
 * @param seeds how many seeds, from 1.
 * @param seconds how long each run sends requests.
 * @param fault the fault's name.
 * @param bundles the directory of the bundle files.
 * @param directory where the report goes.
 */
public record Bench(
        String workload, List<String> policies, int seeds, int seconds, String fault, Path bundles, Path directory) {

    /**
     * Checks the names.
     *
     * @throws IllegalArgumentException if a name is not known, or the workload's bundle is not there.
     */
    public Bench {
        Path bundle = bundles.resolve(Workload.named(workload).bundleFile());
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
        Workload requests = Workload.named(workload);
        Fault shown = Fault.named(fault);
        List<PolicyPair> pairs = policies.stream().map(PolicyPair::named).toList();
        List<RunResult> results = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            for (PolicyPair pair : pairs) {
                results.add(new LoadRun(requests, pair, shown, seed, seconds).measure(bundles, out));
            }
        }
        BenchReport report = new BenchReport(results);
        String name = workload + "-" + shown.title();
        report.write(directory, name);
        BenchPlot.write(directory.resolve(name + ".png"), workload + ", fault: " + shown.title(), report.byPolicy());
        out.println(workload + ", fault " + shown.title() + ", " + seeds + " seeds of " + seconds + " s");
        out.print(report.text());
        out.flush();
    }
}
