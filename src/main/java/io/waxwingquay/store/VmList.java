package io.waxwingquay.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of VMs. It lags and may go backwards: a VM listed as leaving may later be listed as live again.
 */
public interface VmList {

    /**
     * Lists the VMs that the platform currently knows.
     *
     * @return the VMs; fails with {@link PlatformException}.
     */
    CompletableFuture<List<Vm>> list();

    /**
     * Announces this process, as the platform's own agent on the VM would. The platform keeps the VM listed as long as
     * the announcement is renewed within the platform's expiry time.
     *
     * @param vm the VM to list.
     * @return a future that completes when the announcement is accepted; fails with {@link PlatformException}.
     */
    CompletableFuture<Void> announce(Vm vm);

    /**
     * A VM on the list.
     *
     * @param name the VM's name, which is also the name of the process on it.
     * @param host the IP address of the process.
     * @param port the Thrift port of the process.
     * @param dataCentre the data centre.
     * @param role {@code entry} or {@code side}.
     * @param leaving whether the platform is about to remove the VM.
     */
    record Vm(String name, String host, int port, String dataCentre, String role, boolean leaving) {}
}
