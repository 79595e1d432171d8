package io.fireflywalk.daemon.ingress;

/** What the ingress needs of a platform, in its own types. Implemented by an adapter that makes no decisions. */
public interface IngressPlatform {

    /** Returns the codec of callers' headers. */
    CallerProtocol callers();

    /** Returns the codec of the messages to and from targets. */
    TargetProtocol targets();

    /** Returns the codec of the rows that the operator and the targets write. */
    RowDecoder rows();

    /** Returns the client of the store. */
    FleetStore store();

    /** Returns the client of the calls that one instance at a time makes. */
    DutyCalls duties();

    /** Returns the client of the orders that runners take. */
    TargetOrders orders();
}
