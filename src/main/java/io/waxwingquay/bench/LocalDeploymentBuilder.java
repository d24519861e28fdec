package io.waxwingquay.bench;

import io.waxwingquay.process.SideProcess;
import io.waxwingquay.standin.CostModel;

/**
 * Describes a {@link LocalDeployment}.
 */
public final class LocalDeploymentBuilder {

    private static final long DEFAULT_LEASE_MILLIS = 1_000L;
    private static final long DEFAULT_WEIGHT_LOAD_MILLIS = 2_000L;

    final byte[] document;
    int entryCount = 2;
    String routingPolicy = "waxwingquay";
    SideProcess.Decisions decisions = SideProcess.Decisions.DEFAULT;
    CostModel costs = CostModel.DEFAULT;
    double timeScale = 1.0;
    long weightLoadMillis = DEFAULT_WEIGHT_LOAD_MILLIS;
    long permitLeaseMillis = DEFAULT_LEASE_MILLIS;
    long orderQuarantineMillis;
    long listLagMillis;
    LocalDeployment.InitialResidents initialResidents = LocalDeployment.InitialResidents.NONE;

    LocalDeploymentBuilder(byte[] document) {
        this.document = document.clone();
    }

    /**
     * Sets how many entries there are.
     *
     * @param count 1 or above.
     * @return this builder.
     */
    public LocalDeploymentBuilder entries(int count) {
        this.entryCount = count;
        return this;
    }

    /**
     * Sets the routing policy of the entries.
     *
     * @param name its name.
     * @return this builder.
     */
    public LocalDeploymentBuilder routingPolicy(String name) {
        this.routingPolicy = name;
        return this;
    }

    /**
     * Sets how the sides decide.
     *
     * @param choice the decisions.
     * @return this builder.
     */
    public LocalDeploymentBuilder decisions(SideProcess.Decisions choice) {
        this.decisions = choice;
        return this;
    }

    /**
     * Sets what work costs an engine.
     *
     * @param model the costs at scale 1.
     * @return this builder.
     */
    public LocalDeploymentBuilder costs(CostModel model) {
        this.costs = model;
        return this;
    }

    /**
     * Scales the times of the stand-ins.
     *
     * @param scale 0.1 is ten times as fast.
     * @return this builder.
     */
    public LocalDeploymentBuilder timeScale(double scale) {
        this.timeScale = scale;
        return this;
    }

    /**
     * Sets the time of one model load at full speed.
     *
     * @param millis the time at scale 1.
     * @return this builder.
     */
    public LocalDeploymentBuilder weightLoadMillis(long millis) {
        this.weightLoadMillis = millis;
        return this;
    }

    /**
     * Sets how long a side before an unfenced engine holds its orders back.
     *
     * @param millis longer than the longest delay of an order.
     * @return this builder.
     */
    public LocalDeploymentBuilder orderQuarantineMillis(long millis) {
        this.orderQuarantineMillis = millis;
        return this;
    }

    /**
     * Sets how old the platform's VM list is.
     *
     * @param millis the lag.
     * @return this builder.
     */
    public LocalDeploymentBuilder listLagMillis(long millis) {
        this.listLagMillis = millis;
        return this;
    }

    /**
     * Sets what the engines hold before any side starts.
     *
     * @param held what they hold.
     * @return this builder.
     */
    public LocalDeploymentBuilder initialResidents(LocalDeployment.InitialResidents held) {
        this.initialResidents = held;
        return this;
    }

    /**
     * Starts the deployment.
     *
     * @return the running deployment, which may not serve yet.
     */
    public LocalDeployment start() {
        return new LocalDeployment(this).start();
    }
}
