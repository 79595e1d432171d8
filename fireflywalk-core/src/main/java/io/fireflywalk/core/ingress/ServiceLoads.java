package io.fireflywalk.core.ingress;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Loads of all services and costs of all routes. Tells which services have their targets chosen by work: those of which
 * a target has stated how long work takes there, or all if the deployment asks for it. Not thread-safe.
 */
public final class ServiceLoads {
    /** Bounds the memory if a configuration names very many services; the service added first is dropped. */
    private static final int MAXIMUM_SERVICES = 1024;

    private final boolean always;
    private final CostModel costs = new CostModel(RunnerLatencyModel.defaults());
    private final Map<String, ServiceLoad> loads = new LinkedHashMap<>();

    /**
     * Creates the loads.
     *
     * @param always true if the targets of all services are chosen by work
     */
    public ServiceLoads(boolean always) {
        this.always = always;
    }

    /** Returns the load of a service whose targets are chosen by work; empty for other services. */
    public Optional<ServiceLoad> byWork(String service) {
        if (always && !loads.containsKey(service)) {
            load(service);
        }
        return evaluate(service);
    }

    /** Returns the same as {@link #byWork}, but does not begin to record the load of a service that is not known. */
    public Optional<ServiceLoad> evaluate(String service) {
        ServiceLoad load = loads.get(service);
        if (load == null) {
            return always ? Optional.of(new ServiceLoad()) : Optional.empty();
        }
        return always || load.statesSlowdown() ? Optional.of(load) : Optional.empty();
    }

    private ServiceLoad load(String service) {
        ServiceLoad known = loads.get(service);
        if (known == null) {
            if (loads.size() >= MAXIMUM_SERVICES) {
                loads.remove(loads.keySet().iterator().next());
            }
            known = new ServiceLoad();
            loads.put(service, known);
        }
        return known;
    }

    /** Returns the expected cost of a request. */
    public RequestCost cost(HostRoute route, String service, RequestDescription description, boolean prefilled) {
        return costs.cost(route, service, description, prefilled);
    }

    /** Returns the standard deviation of a request's time. */
    public double spreadMilliseconds(RequestCost cost) {
        return costs.spreadMilliseconds(cost);
    }

    /**
     * Records a report of a target.
     *
     * @param rejected true if the target rejected a request with the response that carried the report
     * @param at time of the report, which may have reached this instance through another one
     * @return true unless a later report of the target is known
     */
    public boolean recordReport(TargetState target, ServerLoad report, boolean rejected, long at) {
        return load(target.entry().service()).recordReport(target, report, rejected, at);
    }

    /** Records the start of a request at a target. */
    public void recordStart(TargetState target, RequestCost cost) {
        target.work().addOwnMilliseconds(cost.expectedMilliseconds());
    }

    /** Records the end of a request at a target. */
    public void recordEnd(TargetState target, RequestCost cost) {
        target.work().addOwnMilliseconds(-cost.expectedMilliseconds());
    }

    /**
     * Records the time of a request that a target has completed. A request that had to wait tells nothing about the time of
     * work. Times of a route that is hardly known would make the targets that were used first look fast or slow.
     *
     * @param requestsAtStart number of requests at the target when the request was sent, as estimated then
     */
    public void recordTime(
            TargetState target, RequestCost cost, double requestsAtStart, double milliseconds, long now) {
        if (requestsAtStart >= ServiceLoad.slots(target)) {
            return;
        }
        double atReportedSpeed = milliseconds / target.work().reportedSlowdown();
        if (costs.known(cost)) {
            target.work().recordFactor(atReportedSpeed / cost.expectedMilliseconds(), now);
        }
        costs.observe(cost, atReportedSpeed, now);
        load(cost.service()).recordServiceTime(atReportedSpeed, now);
    }

    /** Records whether a target answered a request without an error of its own. */
    public void recordOutcome(TargetState target, boolean success, long now) {
        target.work().recordOutcome(success, now);
    }

    /**
     * Records a rejection. A target whose slots are in use has no fault and is full for a moment only, so that it is left
     * out only until some slots are expected to be free; other rejections pause it.
     */
    public void recordRejection(TargetState target, Optional<ServerLoad> report, long now) {
        boolean full = report.filter(load -> load.requests() >= ServiceLoad.slots(target))
                .isPresent();
        Optional<ServiceLoad> load = byWork(target.entry().service());
        if (full && load.isPresent()) {
            target.recordFull(load.get().slotMilliseconds(target, now), now);
        } else {
            target.recordRefusal(now);
        }
    }
}
