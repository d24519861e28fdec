package io.waxwingquay.bench;

import io.waxwingquay.process.SideProcess;
import io.waxwingquay.standin.CostModel;

/**
 * Configures and starts a {@link LocalDeployment}.
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
     * Sets the number of entries.
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
     * Sets the placement and admission of the sides.
     *
     * @param choice the decisions.
     * @return this builder.
     */
    public LocalDeploymentBuilder decisions(SideProcess.Decisions choice) {
        this.decisions = choice;
        return this;
    }

    /**
     * Sets the cost model of the engines.
     *
     * @param model the costs at a time scale of 1.
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
     * Sets the duration of one model load at full speed.
     *
     * @param millis the duration at a time scale of 1.
     * @return this builder.
     */
    public LocalDeploymentBuilder weightLoadMillis(long millis) {
        this.weightLoadMillis = millis;
        return this;
    }

    /**
     * Sets how long the side of an unfenced engine sends no orders after its start.
     *
     * @param millis the duration, which must exceed the longest delay of an order in flight.
     * @return this builder.
     */
    public LocalDeploymentBuilder orderQuarantineMillis(long millis) {
        this.orderQuarantineMillis = millis;
        return this;
    }

    /**
     * Sets by how much the platform's VM list lags.
     *
     * @param millis the lag.
     * @return this builder.
     */
    public LocalDeploymentBuilder listLagMillis(long millis) {
        this.listLagMillis = millis;
        return this;
    }

    /**
     * Sets what is resident in the engines before any side starts.
     *
     * @param items the resident items.
     * @return this builder.
     */
    public LocalDeploymentBuilder initialResidents(LocalDeployment.InitialResidents items) {
        this.initialResidents = items;
        return this;
    }

    /**
     * Starts the deployment.
     *
     * @return the running deployment, which may not be serving yet.
     */
    public LocalDeployment start() {
        return new LocalDeployment(this).start();
    }
}
