package io.fireflywalk.core.configuration;

/**
 * A target of requests: a process of a plain service, or a runner with a model engine.
 *
 * @param name unique name
 * @param service name of the service that the target serves
 * @param host IP address
 * @param port TCP port
 * @param availabilityZone availability zone of the target
 * @param modelVersion version of the model that a runner serves; empty for plain services
 * @param charge how the platform charges for the target, and whether it may reclaim it
 * @param orderChecking whether the target refuses orders with an outdated fencing token
 * @param leaving true if the target receives no new requests
 */
public record Target(
        String name,
        String service,
        String host,
        int port,
        String availabilityZone,
        String modelVersion,
        TargetCharge charge,
        OrderChecking orderChecking,
        boolean leaving)
        implements ConfigurationDocument {

    @Override
    public DocumentKind kind() {
        return DocumentKind.TARGET;
    }

    /** Returns a copy of the target that is marked as leaving. */
    public Target asLeaving() {
        return new Target(name, service, host, port, availabilityZone, modelVersion, charge, orderChecking, true);
    }
}
