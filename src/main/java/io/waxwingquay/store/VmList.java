package io.waxwingquay.store;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's list of VMs. It lags, and it may go backwards: a VM seen leaving may be listed live again.
 */
public interface VmList {

    /**
     * Lists the VMs as the platform knows them now.
     *
     * @return the VMs; fails with {@link PlatformException}.
     */
    CompletableFuture<List<Vm>> list();

    /**
     * Announces this process, as the platform's own agent on the VM would. The platform keeps it listed
     * while it is announced again within the platform's expiry.
     *
     * @param vm the VM to list.
     * @return completes when taken; fails with {@link PlatformException}.
     */
    CompletableFuture<Void> announce(Vm vm);

    /**
     * One VM.
     *
     * @param name the VM's name, equal to the name of the process on it.
     * @param host the IP address of the process.
     * @param port the Thrift port of the process.
     * @param dataCentre the data centre.
     * @param role {@code entry} or {@code side}.
     * @param leaving whether the platform is about to take the VM away.
     */
    record Vm(String name, String host, int port, String dataCentre, String role, boolean leaving) {}
}
