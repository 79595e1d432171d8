package io.fireflywalk.daemon.ingress;

import java.util.Set;

/** Interface to a platform. Its adapters only translate calls and formats and contain no policy. */
public interface IngressPlatform {

    /** Returns the codec of callers' headers. */
    CallerProtocol callerProtocol();

    /** Returns the codec of messages to and from targets. */
    TargetProtocol targetProtocol();

    /** Returns the decoder of the rows that the operator and the targets write. */
    RowDecoder rowDecoder();

    /** Returns the client of the store. */
    FleetStore store();

    /** Returns the client of the control plane. */
    ControlPlane controlPlane();

    /** Returns the client that sends commands to runners. */
    TargetCommands targetCommands();

    /** Returns the optional features that the settings of the deployment ask for. */
    Set<DeploymentFeature> features();
}
